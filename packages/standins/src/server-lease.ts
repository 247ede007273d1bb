import type {CellId, Fence, ShardId} from '@banyandrum/base/ids.js';
import {compareFences} from '@banyandrum/base/ids.js';
import type {LeaseAck, LeaseOrder, Stamp} from '@banyandrum/servers/client.js';

/** What a server does with an order. */
export type OrderResult =
  | {readonly kind: 'ack'; readonly ack: LeaseAck}
  | {readonly kind: 'fenced'; readonly fence: Fence};

/** The leases of one run of a server. */
export interface ServerLeases {
  /** Obeys an order, or not; see `docs/design/ownership.md`. */
  obey(order: LeaseOrder): OrderResult;
  /** Whether a request with this fence may run here now. */
  holds(cell: CellId, shard: ShardId, fence: Fence): boolean;
  /** Follows a request that `holds` let pass, until `end`. */
  begin(run: LeasedRun): Tenure;
  /** The shards held under live leases, by cell. */
  held(): readonly HeldLease[];
}

/** A request that runs under a lease. */
export interface LeasedRun {
  readonly cell: CellId;
  readonly shard: ShardId;
  readonly key: string;
  /** Called when the server loses the shard, or the key. */
  stop(): void;
}

/** A request's hold of its shard, from its start. */
export interface Tenure {
  /**
   * Time on the server's own clock until the lease ends, unless it is
   * renewed; 0 from its end on, also where the server got the shard back.
   */
  leftMs(): number;
  /** The request is over. */
  end(): void;
}

/** An order that took effect; `endsAt` is on the server's own clock. */
export interface ObeyedOrder extends HeldLease {
  readonly endsAt: number;
}

/** A lease that has not ended. */
export interface HeldLease {
  readonly cell: CellId;
  readonly fence: Fence;
  readonly shards: readonly ShardId[];
}

interface Lease {
  readonly fence: Fence;
  readonly shards: ReadonlySet<ShardId>;
  /** On the server's own clock, in ms. */
  readonly endsAt: number;
}

/** Starts the shard id of a hot key; the key follows. */
const HOT_PREFIX = 'k:';

const ENDLESS: Tenure = {leftMs: () => Infinity, end: () => {}};

/**
 * The leases of one run of a server; `stamp` reads its own clock.
 *
 * @example
 * ```ts
 * const leases = createServerLeases(true, () => ({boot: 'a', ms: now()}));
 * const result = leases.obey(order);
 * ```
 */
export function createServerLeases(
  checksFences: boolean,
  stamp: () => Stamp,
  onObeyed: (obeyed: ObeyedOrder) => void = () => {},
): ServerLeases {
  const leases = new Map<CellId, Lease>();
  const runs = new Set<LeasedRun>();

  const live = (cell: CellId): Lease | undefined => {
    const lease = leases.get(cell);
    if (lease === undefined || stamp().ms >= lease.endsAt) return undefined;
    return lease;
  };

  // A server that checks fences remembers the fence beyond the lease's end:
  // otherwise a deposed leader's order would be obeyed in a gap.
  const fenceOf = (cell: CellId): Fence | null => {
    const lease = checksFences ? leases.get(cell) : live(cell);
    return lease?.fence ?? null;
  };

  const report = (cell: CellId): OrderResult => ({
    kind: 'ack',
    ack: {
      stamp: stamp(),
      fence: fenceOf(cell),
      shards: [...(live(cell)?.shards ?? [])],
    },
  });

  const stopRuns = (isLost: (run: LeasedRun) => boolean): void => {
    for (const run of runs) {
      if (isLost(run) && runs.delete(run)) run.stop();
    }
  };

  const stopAll = (cell: CellId): void => stopRuns(run => run.cell === cell);

  // A lease that lapsed ends what ran under it, also where the same server is
  // granted the shard again: another one may have owned it in between. A hot
  // key's shard that goes takes along what a former leader sent for the key
  // under its hash range.
  const stopLost = ({cell, shards}: LeaseOrder): void => {
    const before = live(cell);
    if (before === undefined) return stopAll(cell);
    const kept = new Set(shards);
    const taken = new Set([...before.shards].filter(s => !kept.has(s)));
    if (taken.size === 0) return;
    const isTaken = ({shard, key}: LeasedRun): boolean =>
      taken.has(shard) || taken.has(HOT_PREFIX + key);
    stopRuns(run => run.cell === cell && isTaken(run));
  };

  const begin = (run: LeasedRun): Tenure => {
    runs.add(run);
    return {
      leftMs() {
        const lease = live(run.cell);
        if (lease === undefined) stopAll(run.cell);
        if (lease === undefined || !runs.has(run)) return 0;
        return lease.endsAt - stamp().ms;
      },
      end: () => void runs.delete(run),
    };
  };

  const obey = (order: LeaseOrder): OrderResult => {
    if (order.echo === null) return report(order.cell);
    const fence = fenceOf(order.cell);
    if (checksFences && fence && compareFences(order.fence, fence) < 0) {
      return {kind: 'fenced', fence};
    }
    const endsAt = endOf(order, order.echo, stamp());
    if (endsAt === null) return report(order.cell);
    if (checksFences) stopLost(order);
    leases.set(order.cell, {
      fence: order.fence,
      shards: new Set(order.shards),
      endsAt,
    });
    const {cell, fence: obeyed, shards} = order;
    onObeyed({cell, fence: obeyed, shards, endsAt});
    return report(order.cell);
  };

  return {
    obey,
    holds(cell, shard, fence) {
      const lease = live(cell);
      if (lease === undefined || !lease.shards.has(shard)) return false;
      return !checksFences || compareFences(fence, lease.fence) >= 0;
    },
    // A server that doesn't check fences knows nothing but deadlines.
    begin: run => (checksFences ? begin(run) : ENDLESS),
    held: () =>
      [...leases.keys()].flatMap(cell => {
        const lease = live(cell);
        if (lease === undefined) return [];
        return [{cell, fence: lease.fence, shards: [...lease.shards]}];
      }),
  };
}

/**
 * When the ordered lease ends, or null where it is over or was meant for
 * another run of the server. It counts from the echoed stamp: an order that
 * was under way for long would else prolong a lease whose grantor has given
 * it up, and two servers would hold the shard.
 */
function endOf(order: LeaseOrder, echo: Stamp, now: Stamp): number | null {
  if (echo.boot !== now.boot) return null;
  const endsAt = echo.ms + order.ttlMs;
  return endsAt > now.ms ? endsAt : null;
}
