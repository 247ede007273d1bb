import {balance} from './balance.js';
import type {MoveFilter} from './move-filter.js';
import {createServerLoads} from './server-loads.js';
import {placeUnassigned} from './place-unassigned.js';
import type {Move, PlanInput} from './plan.js';

/**
 * Plans moves of shards: first the forced moves, then moves for balance that
 * gain more than they cost, between servers for which `isAllowed` is true. The
 * plan is deterministic and independent of the order of the input.
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
 * Plans only the forced moves: of shards without an owner, and of shards whose
 * server may no longer own shards.
 *
 * @example
 * ```ts
 * const moves = planForcedMoves(input);
 * ```
 */
export function planForcedMoves(input: PlanInput): readonly Move[] {
  return placeUnassigned(input.shards, createServerLoads(input));
}

/** Sorts the input by name, so that ties are broken deterministically. */
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
