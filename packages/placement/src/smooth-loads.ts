import type {ShardId} from '@banyandrum/base/ids.js';

/** Loads of shards, averaged over time. */
export interface SmoothLoads {
  /** Takes the loads of one period in; shards left out count as idle. */
  note(loads: ReadonlyMap<ShardId, number>, periodMs: number): void;
  get(shard: ShardId): number;
}

/** A load that lasts shows by half after this time. */
const HALF_LIFE_MS = 5000;

/** Below this a shard is idle, and forgotten. */
const IDLE = 1e-4;

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
export function createSmoothLoads(): SmoothLoads {
  const smooth = new Map<ShardId, number>();
  return {
    note(loads, periodMs) {
      const keep = 0.5 ** (periodMs / HALF_LIFE_MS);
      for (const [shard, value] of smooth) {
        if (value * keep < IDLE) smooth.delete(shard);
        else smooth.set(shard, value * keep);
      }
      for (const [shard, value] of loads) {
        smooth.set(shard, (smooth.get(shard) ?? 0) + value * (1 - keep));
      }
    },
    get: shard => smooth.get(shard) ?? 0,
  };
}
