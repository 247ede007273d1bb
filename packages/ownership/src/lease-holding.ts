/**
 * What one server may believe that it holds, counted with care from its
 * answers and from the orders that it never answered.
 */
import type {Fence, ShardId} from '@banyandrum/base/ids.js';
import type {Stamp} from '@banyandrum/servers/client.js';
import type {LeaseTiming} from './lease-timing.js';

/**
 * A reading of the server's clock. The server took it after `askedAt` and
 * before `receivedAt`, both by this process's monotonic clock.
 */
export interface ClockReading {
  readonly stamp: Stamp;
  readonly askedAt: number;
  readonly receivedAt: number;
}

/** An order that was sent, and how long it can count. */
export interface SentOrder {
  readonly fence: Fence;
  readonly shards: ReadonlySet<ShardId>;
  readonly echo: ClockReading;
  readonly sentAt: number;
  /** Until then the server surely obeys it, once it has acknowledged it. */
  readonly earliestExpiry: number;
  /** From then on the server surely doesn't obey it any more. */
  readonly latestExpiry: number;
}

/** How long orders of former leaders may count at a server. */
export interface FormerLeaseLimit {
  /** When they had surely stopped sending; infinite while that isn't known. */
  readonly clearedAt: number;
  /** When the last of their orders has surely lapsed. */
  readonly expiresAt: number;
}

export const UNLIMITED_FORMER_LEASES: FormerLeaseLimit = {
  clearedAt: Infinity,
  expiresAt: Infinity,
};

/** The account of one server. */
export interface LeaseTracker {
  /** The newest reading of its clock. */
  lastReading(): ClockReading | null;
  /** The newest order that it acknowledged, or null. */
  lastApplied(): SentOrder | null;
  /** Notes a reading; a new boot id voids all that the old run was told. */
  recordReading(reading: ClockReading): void;
  /** Notes an order in the step that sends it. */
  recordSent(order: SentOrder): void;
  /** The server obeyed the order. */
  recordApplied(order: SentOrder): void;
  /** The order surely wasn't obeyed and never will be. */
  recordRejected(order: SentOrder): void;
  /** Until when a former leader's orders may count; past: none does. */
  formerLeaseExpiry(): number;
  /** The former leaders are known to have stopped. */
  limitFormerLeases(limit: FormerLeaseLimit): void;
  /** When the server surely doesn't hold the shard; past: it doesn't now. */
  mayHoldUntil(shard: ShardId): number;
  /** When the server surely holds nothing at all. */
  mayHoldAnyUntil(): number;
}

/**
 * Opens the account of one server.
 *
 * @example
 * ```ts
 * const holding = createHolding(true, NOT_CLEARED);
 * if (holding.mayHoldUntil('12') < clock.now()) grantElsewhere('12');
 * ```
 */
export function createLeaseTracker(
  checksFences: boolean,
  foreignLimit: FormerLeaseLimit,
): LeaseTracker {
  let reading: ClockReading | null = null;
  let acknowledged: SentOrder | null = null;
  let unanswered: SentOrder[] = [];
  let foreign = foreignLimit;

  // Late orders of a former leader may still reach the server. One that
  // checks fences refuses them once it obeyed our epoch. But it forgets that
  // when it restarts, and while the former leader still acts it may be told
  // anew, out of our sight. So only what we sent after that leader had
  // stopped proves that its orders are shut out.
  const foreignUntil = (): number => {
    if (!checksFences || acknowledged === null) return foreign.expiresAt;
    return acknowledged.sentAt >= foreign.clearedAt
      ? -Infinity
      : foreign.expiresAt;
  };

  const forget = (order: SentOrder): void => {
    unanswered = unanswered.filter(other => other !== order);
  };

  const noteReading = (next: ClockReading): void => {
    if (reading !== null && reading.stamp.boot !== next.stamp.boot) {
      acknowledged = null;
      unanswered = [];
    }
    reading = next;
  };

  const noteObeyed = (order: SentOrder): void => {
    acknowledged = order;
    // A server that checks fences refuses whatever is older than this.
    if (checksFences) unanswered = [];
    else forget(order);
  };

  const latest = (matches: (order: SentOrder) => boolean): number => {
    let until = foreignUntil();
    if (acknowledged !== null && matches(acknowledged)) {
      until = Math.max(until, acknowledged.latestExpiry);
    }
    for (const order of unanswered) {
      if (matches(order)) until = Math.max(until, order.latestExpiry);
    }
    return until;
  };

  return {
    lastReading: () => reading,
    lastApplied: () => acknowledged,
    recordReading: noteReading,
    recordSent(order) {
      const {receivedAt} = order.echo;
      unanswered = unanswered.filter(old => old.latestExpiry > receivedAt);
      unanswered.push(order);
    },
    recordApplied: noteObeyed,
    recordRejected: forget,
    formerLeaseExpiry: foreignUntil,
    limitFormerLeases(limit) {
      foreign = limit;
    },
    mayHoldUntil: shard => latest(order => order.shards.has(shard)),
    mayHoldAnyUntil: () => latest(order => order.shards.size > 0),
  };
}

/**
 * An order as it is noted when sent: valid for TTL from the echoed reading,
 * which the server took somewhere between asking and receiving.
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
