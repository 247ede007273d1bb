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
import {type ShardMap, type TrackedShard, createDeferred} from './shard-table.js';

/** Tells where keys are, and those who wait when that is settled. */
export interface ShardLocator {
  locate(key: string): Location;
  isServable(slot: TrackedShard): boolean;
  /** Stops dispatch; resolves when no request of the shard is in flight. */
  pause(slot: TrackedShard, wait: GateWait): Promise<void>;
  /** Ends a pause; requests go once the shard's server has its lease. */
  resume(slot: TrackedShard): void;
  /** Ends a pause for good: its requests look for their key elsewhere. */
  retire(slot: TrackedShard): void;
  /** Lets those go whose shard can be served now, or by nobody. */
  resumeSettled(): void;
  /** From now on locations are given out. */
  start(): void;
  /** Lets everybody go; no location is given out any more. */
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
 * Makes the locator of one cell. Its cost doesn't depend on the number of
 * shards or servers.
 *
 * @example
 * ```ts
 * const location = locator.locate('ward-7');
 * if (location.kind === 'moving') await location.settled;
 * ```
 */
export function createShardLocator(options: ShardLocatorOptions): ShardLocator {
  const {cell, map, tasks, gate, clock} = options;
  /** Slots that somebody waits for, or whose gate is closed. */
  const unsettled = new Set<TrackedShard>();
  const closedGates = new Set<TrackedShard>();
  let phase: Phase = 'recovering';

  const locate = (key: string): Location => {
    const slot = map.find(key);
    if (slot === null) return unowned('', 'the key is not of this cell');
    if (phase === 'stopped') return unowned(slot.shard, 'leader stopped');
    if (phase === 'recovering') return moving(slot);
    const task = slot.server === null ? undefined : tasks.get(slot.server);
    const grant = task === undefined ? null : task.grant();
    if (
      task !== undefined &&
      grant !== null &&
      !slot.isPaused &&
      grant.shards.has(slot.shard) &&
      clock.now() < grant.leaseEnd
    ) {
      return {
        kind: 'owned',
        shard: slot.shard,
        server: task.server,
        fence: task.fence(),
        leaseEnd: grant.leaseEnd,
        checksFences: task.checksFences,
        heldUntil: () => heldUntil(task, slot.shard, grant),
        toServerTime: grant.toServerTime,
      };
    }
    if (slot.isUnplaceable) return unowned(slot.shard, slot.reason);
    return moving(slot);
  };

  const heldUntil = (
    task: LeaseTask,
    shard: ShardId,
    {toServerTime}: Grant,
  ): number => {
    if (phase === 'stopped') return Infinity;
    const {boot} = toServerTime(0);
    const isSameRun = task.grant()?.toServerTime(0).boot === boot;
    return isSameRun ? task.mayHoldUntil(shard) : -Infinity;
  };

  const moving = (slot: TrackedShard): Moving => {
    slot.settled ??= createDeferred();
    unsettled.add(slot);
    return {
      kind: 'moving',
      shard: slot.shard,
      settled: slot.settled.promise,
    };
  };

  const isServable = (slot: TrackedShard): boolean => {
    if (phase !== 'leading' || slot.isPaused || slot.server === null) {
      return false;
    }
    const grant = tasks.get(slot.server)?.grant();
    if (!grant?.shards.has(slot.shard)) return false;
    return clock.now() < grant.leaseEnd;
  };

  const resumeWaiters = (slot: TrackedShard): void => {
    unsettled.delete(slot);
    slot.settled?.resolve();
    slot.settled = null;
    if (closedGates.delete(slot)) gate.open(cell, slot.shard);
  };

  return {
    locate,
    isServable,
    pause(slot, wait) {
      slot.isPaused = true;
      unsettled.add(slot);
      closedGates.add(slot);
      return gate.close(cell, slot.shard, wait);
    },
    resume(slot) {
      slot.isPaused = false;
      if (isServable(slot)) resumeWaiters(slot);
    },
    retire(slot) {
      slot.isPaused = false;
      resumeWaiters(slot);
    },
    resumeSettled() {
      for (const slot of unsettled) {
        if (slot.isUnplaceable || isServable(slot)) resumeWaiters(slot);
      }
    },
    start() {
      phase = 'leading';
    },
    stop() {
      phase = 'stopped';
      for (const slot of [...unsettled]) resumeWaiters(slot);
    },
  };
}

function unowned(shard: string, reason: string): Unowned {
  return {kind: 'unowned', shard, reason};
}
