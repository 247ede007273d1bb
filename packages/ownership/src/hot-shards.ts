import type {TrackedShard} from './shard-table.js';
import {type ShardMap, hotShardOf} from './shard-table.js';
import type {HotKeySplit} from './hot-split.js';
import type {HotKey} from './led-cell.js';

/** Hot keys to split off from their hash range, and to merge back into it. */
export interface HotKeyChanges {
  readonly split: readonly HotKeySplit[];
  readonly merge: readonly HotKeySplit[];
}

/** Decides which hot keys become shards of their own. */
export interface HotKeyTracker {
  /**
   * Evaluates the hot keys of one period. `capacity` is that of an average
   * server, in slots; `busyOf` returns the smoothed load of a shard.
   */
  update(
    hotKeys: readonly HotKey[],
    capacity: number,
    busyOf: (shard: string) => number,
    now: number,
  ): HotKeyChanges;
}

/** A key is hot if it uses at least this share of an average server. */
const SPLIT_LOAD_SHARE = 0.1;

/** A split key that uses less than this share is cold. */
const MERGE_LOAD_SHARE = 0.03;

/** Consecutive periods that a key must be hot, to ignore short peaks. */
const SPLIT_PERIODS = 3;

/** Consecutive periods that a split key must be cold before it is merged. */
const MERGE_PERIODS = 60;

/** Maximum number of split hot keys in one cell. */
const MAX_HOT_KEYS = 128;

/** Maximum per period: each split briefly stops dispatch of its hash range. */
const MAX_SPLITS_PER_PERIOD = 4;

/**
 * Creates the tracker of one cell. It counts for how many consecutive periods
 * each key has been hot or cold.
 *
 * @example
 * ```ts
 * const {split, merge} = hotKeyTracker.update(hotKeys, 4, loads.busyOf, now);
 * ```
 */
export function createHotKeyTracker(map: ShardMap): HotKeyTracker {
  let hotPeriods = new Map<string, number>();
  const coldPeriods = new Map<string, number>();

  const countHot = (hotKeys: readonly HotKey[], minBusy: number): void => {
    const next = new Map<string, number>();
    for (const {key, busy} of hotKeys) {
      if (busy >= minBusy) next.set(key, (hotPeriods.get(key) ?? 0) + 1);
    }
    hotPeriods = next;
  };

  const findSplits = (now: number): HotKeySplit[] => {
    const splits: HotKeySplit[] = [];
    const remaining = MAX_HOT_KEYS - [...map.hotKeys()].length;
    for (const [key, periods] of hotPeriods) {
      if (splits.length >= Math.min(remaining, MAX_SPLITS_PER_PERIOD)) break;
      if (periods < SPLIT_PERIODS) continue;
      if (map.get(hotShardOf(key)) !== undefined) continue;
      const range = map.findRange(key);
      if (range === null || !isSettled(range, now)) continue;
      if (splits.some(split => split.range === range)) continue;
      splits.push({key, hot: map.addHotKey(key), range});
    }
    return splits;
  };

  const findMerges = (
    minBusy: number,
    busyOf: (shard: string) => number,
    now: number,
  ): HotKeySplit[] => {
    const merges: HotKeySplit[] = [];
    for (const key of map.hotKeys()) {
      const hot = map.get(hotShardOf(key));
      const range = map.findRange(key);
      if (hot === undefined || range === null) continue;
      const periods =
        busyOf(hot.shard) < minBusy ? (coldPeriods.get(key) ?? 0) + 1 : 0;
      coldPeriods.set(key, periods);
      if (periods < MERGE_PERIODS) continue;
      if (isSettled(hot, now) && isSettled(range, now))
        merges.push({key, hot, range});
    }
    for (const key of coldPeriods.keys()) {
      if (map.get(hotShardOf(key)) === undefined) coldPeriods.delete(key);
    }
    return merges;
  };

  return {
    update(hotKeys, capacity, busyOf, now) {
      countHot(hotKeys, capacity * SPLIT_LOAD_SHARE);
      const merge = findMerges(capacity * MERGE_LOAD_SHARE, busyOf, now);
      return {split: findSplits(now), merge};
    },
  };
}

function isSettled(tracked: TrackedShard, now: number): boolean {
  if (now < tracked.postponedUntil) return false;
  return tracked.state === 'held' && !tracked.isChanging && !tracked.isPaused;
}
