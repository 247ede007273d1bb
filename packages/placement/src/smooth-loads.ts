import type {ShardId} from '@banyandrum/base/ids.js';

/** Loads of shards, smoothed over time. */
export interface SmoothedLoads {
  /** Adds the loads of one period; missing shards count as idle. */
  update(loads: ReadonlyMap<ShardId, number>, periodMs: number): void;
  get(shard: ShardId): number;
}

/** Time after which half of a lasting change of load is included. */
const HALF_LIFE_MS = 5000;

/** Shards with a load below this value are idle and removed. */
const IDLE_LOAD = 1e-4;

/**
 * Smooths loads exponentially with a half-life of 5 s, so that a short peak or
 * a single wrong measurement moves no shard.
 *
 * @example
 * ```ts
 * loads.update(new Map([['12', 0.8]]), 500);
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
        smoothed.set(
          shard,
          (smoothed.get(shard) ?? 0) + value * (1 - retained),
        );
      }
    },
    get: shard => smoothed.get(shard) ?? 0,
  };
}
