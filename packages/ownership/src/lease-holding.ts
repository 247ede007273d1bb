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
export interface Reading {
  readonly stamp: Stamp;
  readonly askedAt: number;
  readonly receivedAt: number;
}

/** An order that was sent, and how long it can count. */
export interface SentOrder {
  readonly fence: Fence;
  readonly shards: ReadonlySet<ShardId>;
  readonly echo: Reading;
  readonly sentAt: number;
  /** Until then the server surely obeys it, once it has acknowledged it. */
  readonly surelyUntil: number;
  /** From then on the server surely doesn't obey it any more. */
  readonly possiblyUntil: number;
}

/** How long orders of former leaders may count at a server. */
export interface ForeignLimit {
  /** When they had surely stopped sending; infinite while that isn't known. */
  readonly clearedAt: number;
  /** When the last of their orders has surely lapsed. */
  readonly until: number;
}

export const NOT_CLEARED: ForeignLimit = {
  clearedAt: Infinity,
  until: Infinity,
};

/** The account of one server. */
export interface Holding {
  /** The newest reading of its clock. */
  reading(): Reading | null;
  /** The newest order that it acknowledged, or null. */
  acknowledged(): SentOrder | null;
  /** Notes a reading; a new boot id voids all that the old run was told. */
  noteReading(reading: Reading): void;
  /** Notes an order in the step that sends it. */
  noteSent(order: SentOrder): void;
  /** The server obeyed the order. */
  noteObeyed(order: SentOrder): void;
  /** The order surely wasn't obeyed and never will be. */
  noteRefused(order: SentOrder): void;
  /** Until when a former leader's orders may count; past: none does. */
  foreignUntil(): number;
  /** The former leaders are known to have stopped. */
  limitForeign(limit: ForeignLimit): void;
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
export function createHolding(
  checksFences: boolean,
  foreignLimit: ForeignLimit,
): Holding {
  let reading: Reading | null = null;
  let acknowledged: SentOrder | null = null;
  let unanswered: SentOrder[] = [];
  let foreign = foreignLimit;

  // Late orders of a former leader may still reach the server. One that
  // checks fences refuses them once it obeyed our epoch. But it forgets that
  // when it restarts, and while the former leader still acts it may be told
  // anew, out of our sight. So only what we sent after that leader had
  // stopped proves that its orders are shut out.
  const foreignUntil = (): number => {
    if (!checksFences || acknowledged === null) return foreign.until;
    return acknowledged.sentAt >= foreign.clearedAt ? -Infinity : foreign.until;
  };

  const forget = (order: SentOrder): void => {
    unanswered = unanswered.filter(other => other !== order);
  };

  const noteReading = (next: Reading): void => {
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
      until = Math.max(until, acknowledged.possiblyUntil);
    }
    for (const order of unanswered) {
      if (matches(order)) until = Math.max(until, order.possiblyUntil);
    }
    return until;
  };

  return {
    reading: () => reading,
    acknowledged: () => acknowledged,
    noteReading,
    noteSent(order) {
      const {receivedAt} = order.echo;
      unanswered = unanswered.filter(old => old.possiblyUntil > receivedAt);
      unanswered.push(order);
    },
    noteObeyed,
    noteRefused: forget,
    foreignUntil,
    limitForeign(limit) {
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
  echo: Reading,
  sentAt: number,
  timing: LeaseTiming,
): SentOrder {
  const {ttlMs, marginMs} = timing;
  return {
    fence,
    shards,
    echo,
    sentAt,
    surelyUntil: echo.askedAt + ttlMs - marginMs,
    possiblyUntil: echo.receivedAt + ttlMs + marginMs,
  };
}
