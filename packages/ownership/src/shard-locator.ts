import type {Clock} from '@banyandrum/base/clock.js';
import type {CellId, ShardId} from '@banyandrum/base/ids.js';
import type {
  DispatchGate,
  GateWait,
  Location,
  Moving,
  Unowned,
} from './led-cell.js';
import type {Grant} from './lease-grant.js';
import type {LeaseTask} from './lease-task.js';
import {
  type ShardMap,
  type TrackedShard,
  createDeferred,
} from './shard-table.js';

/** Locates keys and resumes requests that wait until a shard can be served. */
export interface ShardLocator {
  locate(key: string): Location;
  isServable(tracked: TrackedShard): boolean;
  /** Pauses dispatch; resolves when no request of the shard is in flight. */
  pause(tracked: TrackedShard, wait: GateWait): Promise<void>;
  /** Ends a pause; requests resume once the shard's server has its lease. */
  resume(tracked: TrackedShard): void;
  /** Ends the pause of a removed shard: its requests locate their key again. */
  retire(tracked: TrackedShard): void;
  /** Resumes waiters whose shard can be served now, or by no server at all. */
  resumeSettled(): void;
  /** Starts to return locations, after recovery. */
  start(): void;
  /** Resumes all waiters; no location is returned any more. */
  stop(): void;
}

export interface ShardLocatorOptions {
  readonly cell: CellId;
  readonly map: ShardMap;
  readonly tasks: ReadonlyMap<string, LeaseTask>;
  readonly gate: DispatchGate;
  readonly clock: Clock;
}

type Phase = 'recovering' | 'leading' | 'stopped';

/**
 * Creates the locator of one cell. The cost of a lookup doesn't depend on the
 * number of shards or servers.
 *
 * @example
 * ```ts
 * const location = locator.locate('ward-7');
 * if (location.kind === 'moving') await location.settled;
 * ```
 */
export function createShardLocator(options: ShardLocatorOptions): ShardLocator {
  const {cell, map, tasks, gate, clock} = options;
  /** Shards that have waiters or whose gate is closed. */
  const unsettled = new Set<TrackedShard>();
  const closedGates = new Set<TrackedShard>();
  let phase: Phase = 'recovering';

  const locate = (key: string): Location => {
    const tracked = map.find(key);
    if (tracked === null) return unowned('', 'the key belongs to another cell');
    if (phase === 'stopped') return unowned(tracked.shard, 'leader stopped');
    if (phase === 'recovering') return moving(tracked);
    const task =
      tracked.server === null ? undefined : tasks.get(tracked.server);
    const grant = task === undefined ? null : task.grant();
    if (
      task !== undefined &&
      grant !== null &&
      !tracked.isPaused &&
      grant.shards.has(tracked.shard) &&
      clock.now() < grant.leaseEnd
    ) {
      return {
        kind: 'owned',
        shard: tracked.shard,
        server: task.server,
        fence: task.fence(),
        leaseEnd: grant.leaseEnd,
        checksFences: task.checksFences,
        heldUntil: () => heldUntil(task, tracked.shard, grant),
        toServerTime: grant.toServerTime,
      };
    }
    if (tracked.isUnplaceable) return unowned(tracked.shard, tracked.reason);
    return moving(tracked);
  };

  const heldUntil = (
    task: LeaseTask,
    shard: ShardId,
    {toServerTime}: Grant,
  ): number => {
    if (phase === 'stopped') return Infinity;
    const {boot} = toServerTime(0);
    const isSameInstance = task.grant()?.toServerTime(0).boot === boot;
    return isSameInstance ? task.mayHoldUntil(shard) : -Infinity;
  };

  const moving = (tracked: TrackedShard): Moving => {
    tracked.settled ??= createDeferred();
    unsettled.add(tracked);
    return {
      kind: 'moving',
      shard: tracked.shard,
      settled: tracked.settled.promise,
    };
  };

  const isServable = (tracked: TrackedShard): boolean => {
    if (phase !== 'leading' || tracked.isPaused || tracked.server === null) {
      return false;
    }
    const grant = tasks.get(tracked.server)?.grant();
    if (!grant?.shards.has(tracked.shard)) return false;
    return clock.now() < grant.leaseEnd;
  };

  const resumeWaiters = (tracked: TrackedShard): void => {
    unsettled.delete(tracked);
    tracked.settled?.resolve();
    tracked.settled = null;
    if (closedGates.delete(tracked)) gate.open(cell, tracked.shard);
  };

  return {
    locate,
    isServable,
    pause(tracked, wait) {
      tracked.isPaused = true;
      unsettled.add(tracked);
      closedGates.add(tracked);
      return gate.close(cell, tracked.shard, wait);
    },
    resume(tracked) {
      tracked.isPaused = false;
      if (isServable(tracked)) resumeWaiters(tracked);
    },
    retire(tracked) {
      tracked.isPaused = false;
      resumeWaiters(tracked);
    },
    resumeSettled() {
      for (const tracked of unsettled) {
        if (tracked.isUnplaceable || isServable(tracked))
          resumeWaiters(tracked);
      }
    },
    start() {
      phase = 'leading';
    },
    stop() {
      phase = 'stopped';
      for (const tracked of [...unsettled]) resumeWaiters(tracked);
    },
  };
}

function unowned(shard: string, reason: string): Unowned {
  return {kind: 'unowned', shard, reason};
}
