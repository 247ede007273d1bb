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
import {type ShardMap, type Slot, createSettled} from './shard-table.js';

/** Tells where keys are, and those who wait when that is settled. */
export interface ShardLocator {
  locate(key: string): Location;
  isServable(slot: Slot): boolean;
  /** Stops dispatch; resolves when no request of the shard is in flight. */
  pause(slot: Slot, wait: GateWait): Promise<void>;
  /** Ends a pause; requests go once the shard's server has its lease. */
  resume(slot: Slot): void;
  /** Ends a pause for good: its requests look for their key elsewhere. */
  dissolve(slot: Slot): void;
  /** Lets those go whose shard can be served now, or by nobody. */
  settle(): void;
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
  const unsettled = new Set<Slot>();
  const closed = new Set<Slot>();
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
      !slot.paused &&
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
    if (slot.stuck) return unowned(slot.shard, slot.reason);
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

  const moving = (slot: Slot): Moving => {
    slot.waiting ??= createSettled();
    unsettled.add(slot);
    return {
      kind: 'moving',
      shard: slot.shard,
      settled: slot.waiting.promise,
    };
  };

  const isServable = (slot: Slot): boolean => {
    if (phase !== 'leading' || slot.paused || slot.server === null) {
      return false;
    }
    const grant = tasks.get(slot.server)?.grant();
    if (!grant?.shards.has(slot.shard)) return false;
    return clock.now() < grant.leaseEnd;
  };

  const letGo = (slot: Slot): void => {
    unsettled.delete(slot);
    slot.waiting?.resolve();
    slot.waiting = null;
    if (closed.delete(slot)) gate.open(cell, slot.shard);
  };

  return {
    locate,
    isServable,
    pause(slot, wait) {
      slot.paused = true;
      unsettled.add(slot);
      closed.add(slot);
      return gate.close(cell, slot.shard, wait);
    },
    resume(slot) {
      slot.paused = false;
      if (isServable(slot)) letGo(slot);
    },
    dissolve(slot) {
      slot.paused = false;
      letGo(slot);
    },
    settle() {
      for (const slot of unsettled) {
        if (slot.stuck || isServable(slot)) letGo(slot);
      }
    },
    start() {
      phase = 'leading';
    },
    stop() {
      phase = 'stopped';
      for (const slot of [...unsettled]) letGo(slot);
    },
  };
}

function unowned(shard: string, reason: string): Unowned {
  return {kind: 'unowned', shard, reason};
}
