import {
  createCarriers,
  createShardWeight,
  placeOrphans,
} from './place-orphans.js';
import type {Move, PlanInput} from './plan.js';

/**
 * Plans which shards should go where. The same input yields the same plan.
 *
 * @example
 * ```ts
 * for (const move of planMoves(input)) await handOver(move);
 * ```
 */
export function planMoves(input: PlanInput): readonly Move[] {
  const weigh = createShardWeight(input);
  const carriers = createCarriers(input, weigh);
  return placeOrphans(input.shards, carriers, weigh);
}
