import {balance} from './balance.js';
import type {MoveFilter} from './calm.js';
import {createServerLoads} from './carriers.js';
import {placeUnassigned} from './place-orphans.js';
import type {Move, PlanInput} from './plan.js';

/**
 * Plans which shards should go where: first those that have to move, then
 * those whose move is worth more than it costs, between servers that
 * `mayMove` allows. The same input yields the same plan.
 *
 * @example
 * ```ts
 * for (const move of planMoves(input)) await handOver(move);
 * ```
 */
export function planMoves(
  input: PlanInput,
  isAllowed?: MoveFilter,
): readonly Move[] {
  const sorted = sortInput(input);
  const servers = createServerLoads(sorted);
  const forced = placeUnassigned(sorted.shards, servers);
  const placed = new Set(forced.map(({shard}) => shard));
  const shards = sorted.shards.filter(({shard}) => !placed.has(shard));
  return [...forced, ...balance({...sorted, shards}, servers, isAllowed)];
}

/**
 * Plans only what has to move: shards that nobody owns, and those of servers
 * that may be given nothing any more.
 *
 * @example
 * ```ts
 * const moves = planForcedMoves(input);
 * ```
 */
export function planForcedMoves(input: PlanInput): readonly Move[] {
  return placeUnassigned(input.shards, createServerLoads(input));
}

/** Ties are decided by order, which must not depend on the caller's. */
function sortInput(input: PlanInput): PlanInput {
  return {
    ...input,
    candidates: [...input.candidates].sort((a, b) => compare(a.name, b.name)),
    shards: [...input.shards].sort((a, b) => compare(a.shard, b.shard)),
  };
}

function compare(a: string, b: string): number {
  return a < b ? -1 : Number(a > b);
}
