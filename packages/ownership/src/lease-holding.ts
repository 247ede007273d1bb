/**
 * Tracks which shards one server may hold, as a conservative estimate from its
 * acknowledgements and from orders that were never acknowledged.
 */
import type {Fence, ShardId} from '@banyandrum/base/ids.js';
import type {Stamp} from '@banyandrum/servers/client.js';
import type {LeaseTiming} from './lease-timing.js';

/**
 * A reading of the server's clock. The server took it between `askedAt` and
 * `receivedAt`, both on this process's monotonic clock.
 */
export interface ClockReading {
  readonly stamp: Stamp;
  readonly askedAt: number;
  readonly receivedAt: number;
}

/** A lease order that was sent, with the bounds of its expiry. */
export interface SentOrder {
  readonly fence: Fence;
  readonly shards: ReadonlySet<ShardId>;
  readonly echo: ClockReading;
  readonly sentAt: number;
  /**
   * Local time before which the lease cannot expire, provided that the server
   * acknowledged the order.
   */
  readonly earliestExpiry: number;
  /** Local time from which the lease has certainly expired. */
  readonly latestExpiry: number;
}

/** Limit on leases that former leaders granted at a server. */
export interface FormerLeaseLimit {
  /** When former leaders had certainly stopped sending; infinite if unknown. */
  readonly clearedAt: number;
  /** When the last of their leases has certainly expired. */
  readonly expiresAt: number;
}

export const UNLIMITED_FORMER_LEASES: FormerLeaseLimit = {
  clearedAt: Infinity,
  expiresAt: Infinity,
};

/** Which shards one server may hold, and until when. */
export interface LeaseTracker {
  /** The latest reading of the server's clock. */
  lastReading(): ClockReading | null;
  /** The latest order that the server acknowledged as applied, or null. */
  lastApplied(): SentOrder | null;
  /**
   * Records a clock reading. A new boot id discards all orders sent to the
   * previous instance of the server.
   */
  recordReading(reading: ClockReading): void;
  /** Records an order; called in the same synchronous step that sends it. */
  recordSent(order: SentOrder): void;
  /** Records that the server applied the order. */
  recordApplied(order: SentOrder): void;
  /** Records that the order was not applied and never will be. */
  recordRejected(order: SentOrder): void;
  /**
   * Until when leases granted by former leaders may be in force; in the past
   * if none is.
   */
  formerLeaseExpiry(): number;
  /** Sets the limit once former leaders are known to have stopped. */
  limitFormerLeases(limit: FormerLeaseLimit): void;
  /**
   * From when the server certainly doesn't hold the shard; in the past if it
   * doesn't hold it now.
   */
  mayHoldUntil(shard: ShardId): number;
  /** From when the server certainly holds no shard at all. */
  mayHoldAnyUntil(): number;
}

/**
 * Creates the tracker of one server.
 *
 * @example
 * ```ts
 * const tracker = createLeaseTracker(true, UNLIMITED_FORMER_LEASES);
 * if (tracker.mayHoldUntil('12') < clock.now()) grantElsewhere('12');
 * ```
 */
export function createLeaseTracker(
  checksFences: boolean,
  initialLimit: FormerLeaseLimit,
): LeaseTracker {
  let reading: ClockReading | null = null;
  let lastApplied: SentOrder | null = null;
  let unacknowledged: SentOrder[] = [];
  let formerLeases = initialLimit;

  // Delayed orders of a former leader may still reach the server. A server
  // that checks fences rejects them once it applied an order of this epoch.
  // But it forgets the epoch when it restarts, and a former leader that is
  // still active may then lease it shards again, unnoticed by this leader. So
  // only an order sent after the former leader had stopped proves that the
  // server rejects the former leader's orders.
  const formerLeaseExpiry = (): number => {
    if (!checksFences || lastApplied === null) return formerLeases.expiresAt;
    return lastApplied.sentAt >= formerLeases.clearedAt
      ? -Infinity
      : formerLeases.expiresAt;
  };

  const removeUnacknowledged = (order: SentOrder): void => {
    unacknowledged = unacknowledged.filter(other => other !== order);
  };

  const recordReading = (next: ClockReading): void => {
    if (reading !== null && reading.stamp.boot !== next.stamp.boot) {
      lastApplied = null;
      unacknowledged = [];
    }
    reading = next;
  };

  const recordApplied = (order: SentOrder): void => {
    lastApplied = order;
    // A server that checks fences rejects every order older than this one.
    if (checksFences) unacknowledged = [];
    else removeUnacknowledged(order);
  };

  const latestExpiryWhere = (
    matches: (order: SentOrder) => boolean,
  ): number => {
    let until = formerLeaseExpiry();
    if (lastApplied !== null && matches(lastApplied)) {
      until = Math.max(until, lastApplied.latestExpiry);
    }
    for (const order of unacknowledged) {
      if (matches(order)) until = Math.max(until, order.latestExpiry);
    }
    return until;
  };

  return {
    lastReading: () => reading,
    lastApplied: () => lastApplied,
    recordReading,
    recordSent(order) {
      const {receivedAt} = order.echo;
      unacknowledged = unacknowledged.filter(
        old => old.latestExpiry > receivedAt,
      );
      unacknowledged.push(order);
    },
    recordApplied,
    recordRejected: removeUnacknowledged,
    formerLeaseExpiry,
    limitFormerLeases(limit) {
      formerLeases = limit;
    },
    mayHoldUntil: shard => latestExpiryWhere(order => order.shards.has(shard)),
    mayHoldAnyUntil: () => latestExpiryWhere(order => order.shards.size > 0),
  };
}

/**
 * Creates the record of an order that is about to be sent. The lease is valid
 * for the TTL from the echoed reading, which the server took at some time
 * between the request for it and its arrival.
 */
export function createSentOrder(
  fence: Fence,
  shards: ReadonlySet<ShardId>,
  echo: ClockReading,
  sentAt: number,
  timing: LeaseTiming,
): SentOrder {
  const {ttlMs, marginMs} = timing;
  return {
    fence,
    shards,
    echo,
    sentAt,
    earliestExpiry: echo.askedAt + ttlMs - marginMs,
    latestExpiry: echo.receivedAt + ttlMs + marginMs,
  };
}
