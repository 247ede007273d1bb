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
  /** Until then the server surely obeys it, once it has acknowledged it. */
  readonly surelyUntil: number;
  /** From then on the server surely doesn't obey it any more. */
  readonly possiblyUntil: number;
}

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
  /** Lessens that time; it never grows. */
  limitForeign(until: number): void;
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
 * const holding = createHolding(true, Infinity);
 * if (holding.mayHoldUntil('12') < clock.now()) grantElsewhere('12');
 * ```
 */
export function createHolding(
  checksFences: boolean,
  foreignUntil: number,
): Holding {
  let reading: Reading | null = null;
  let acknowledged: SentOrder | null = null;
  let unanswered: SentOrder[] = [];
  let foreign = foreignUntil;

  // Late orders of the former leader may still reach the server. One that
  // checks fences refuses them once this run of it obeyed our epoch; after a
  // restart it has forgotten that, so a new run counts anew.
  const foreignLimit = (): number =>
    checksFences && acknowledged !== null ? -Infinity : foreign;

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
    let until = foreignLimit();
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
    foreignUntil: foreignLimit,
    limitForeign(until) {
      foreign = Math.min(foreign, until);
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
  timing: LeaseTiming,
): SentOrder {
  const {ttlMs, marginMs} = timing;
  return {
    fence,
    shards,
    echo,
    surelyUntil: echo.askedAt + ttlMs - marginMs,
    possiblyUntil: echo.receivedAt + ttlMs + marginMs,
  };
}
