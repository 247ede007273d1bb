import type {ShardId} from '@banyandrum/base/ids.js';

/** Loads of shards, averaged over time. */
export interface SmoothedLoads {
  /** Takes the loads of one period in; shards left out count as idle. */
  update(loads: ReadonlyMap<ShardId, number>, periodMs: number): void;
  get(shard: ShardId): number;
}

/** A load that lasts shows by half after this time. */
const HALF_LIFE_MS = 5000;

/** Below this a shard is idle, and forgotten. */
const IDLE_LOAD = 1e-4;

/**
 * Averages loads with a half-life of 5 s, so that a short peak or one wrong
 * figure moves nothing.
 *
 * @example
 * ```ts
 * loads.note(new Map([['12', 0.8]]), 500);
 * loads.get('12');
 * ```
 */
export function createSmoothedLoads(): SmoothedLoads {
  const smoothed = new Map<ShardId, number>();
  return {
    update(loads, periodMs) {
      const retained = 0.5 ** (periodMs / HALF_LIFE_MS);
      for (const [shard, value] of smoothed) {
        if (value * retained < IDLE_LOAD) smoothed.delete(shard);
        else smoothed.set(shard, value * retained);
      }
      for (const [shard, value] of loads) {
        smoothed.set(shard, (smoothed.get(shard) ?? 0) + value * (1 - retained));
      }
    },
    get: shard => smoothed.get(shard) ?? 0,
  };
}
