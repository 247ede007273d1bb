import type {TrackedShard} from './shard-table.js';
import {type ShardMap, hotShardOf} from './shard-table.js';
import type {HotPair} from './hot-split.js';
import type {HotKey} from './led-cell.js';

/** What should become of the cell's hot keys. */
export interface HotChanges {
  readonly split: readonly HotPair[];
  readonly merge: readonly HotPair[];
}

/** Decides which keys are shards of their own. */
export interface HotShards {
  /**
   * Takes one period's hot keys in. `capacity` is an average server's, in
   * slots; `busyOf` yields the smoothed load of a shard.
   */
  note(
    hotKeys: readonly HotKey[],
    capacity: number,
    busyOf: (shard: string) => number,
    now: number,
  ): HotChanges;
}

/** A key is hot where it takes this share of an average server. */
const SPLIT_SHARE = 0.1;

/** A key that takes less than this is hot no more. */
const MERGE_SHARE = 0.03;

/** Periods on end that a key must be hot, so that a short peak is ignored. */
const SPLIT_PERIODS = 3;

/** Periods on end that it must be cold. */
const MERGE_PERIODS = 60;

/** Hot keys of one cell at most. */
const MAX_HOT = 128;

/** Splits in one period at most: each stops its hash range for a moment. */
const MAX_SPLITS = 4;

/**
 * Makes the decision of one cell; it keeps count of the periods.
 *
 * @example
 * ```ts
 * const {split, merge} = hotShards.note(hotKeys, 4, loads.busyOf, now);
 * ```
 */
export function createHotShards(map: ShardMap): HotShards {
  let hotFor = new Map<string, number>();
  const coldFor = new Map<string, number>();

  const countHot = (hotKeys: readonly HotKey[], least: number): void => {
    const next = new Map<string, number>();
    for (const {key, busy} of hotKeys) {
      if (busy >= least) next.set(key, (hotFor.get(key) ?? 0) + 1);
    }
    hotFor = next;
  };

  const findSplits = (now: number): HotPair[] => {
    const pairs: HotPair[] = [];
    const left = MAX_HOT - [...map.hotKeys()].length;
    for (const [key, periods] of hotFor) {
      if (pairs.length >= Math.min(left, MAX_SPLITS)) break;
      if (periods < SPLIT_PERIODS) continue;
      if (map.get(hotShardOf(key)) !== undefined) continue;
      const range = map.findRange(key);
      if (range === null || !isSettled(range, now)) continue;
      if (pairs.some(pair => pair.range === range)) continue;
      pairs.push({key, hot: map.addHotKey(key), range});
    }
    return pairs;
  };

  const findMerges = (
    least: number,
    busyOf: (shard: string) => number,
    now: number,
  ): HotPair[] => {
    const pairs: HotPair[] = [];
    for (const key of map.hotKeys()) {
      const hot = map.get(hotShardOf(key));
      const range = map.findRange(key);
      if (hot === undefined || range === null) continue;
      const cold = busyOf(hot.shard) < least ? (coldFor.get(key) ?? 0) + 1 : 0;
      coldFor.set(key, cold);
      if (cold < MERGE_PERIODS) continue;
      if (isSettled(hot, now) && isSettled(range, now))
        pairs.push({key, hot, range});
    }
    for (const key of coldFor.keys()) {
      if (map.get(hotShardOf(key)) === undefined) coldFor.delete(key);
    }
    return pairs;
  };

  return {
    note(hotKeys, capacity, busyOf, now) {
      countHot(hotKeys, capacity * SPLIT_SHARE);
      const merge = findMerges(capacity * MERGE_SHARE, busyOf, now);
      return {split: findSplits(now), merge};
    },
  };
}

function isSettled(slot: TrackedShard, now: number): boolean {
  if (now < slot.postponedUntil) return false;
  return slot.state === 'held' && !slot.isChanging && !slot.isPaused;
}
