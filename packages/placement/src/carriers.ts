import type {Candidate, PlacedShard, PlanInput} from './plan.js';

/** What one server carries while a plan is being made. */
export interface ServerLoad {
  readonly candidate: Candidate;
  /** Slots that it may be given: its capacity, as far as it is ready. */
  readonly usableCapacity: number;
  /** Weight of its shards. */
  weight: number;
  /** Slots that its shards keep busy. */
  busy: number;
  /** How many shards it has. */
  shardCount: number;
}

/** All servers of a plan. */
export interface ServerLoads {
  readonly byName: ReadonlyMap<string, ServerLoad>;
  /** The weight that a shard counts with, in slots. */
  weightOf(shard: PlacedShard): number;
  /** Counts a shard at another server; null is no server. */
  move(shard: PlacedShard, from: ServerLoad | null, to: ServerLoad | null): void;
}

/**
 * Each shard counts as some load even while nobody asks for it, so that an
 * idle cell spreads its shards too: all of them together as this share of the
 * servers' capacity.
 */
const BASE_UTILIZATION = 0.25;

/**
 * The servers of a plan with what they carry now.
 *
 * @example
 * ```ts
 * const carriers = createCarriers(input);
 * carriers.byName.get('bed-3')?.load;
 * ```
 */
export function createServerLoads(input: PlanInput): ServerLoads {
  const {candidates, shards} = input;
  const capacity = candidates.reduce((sum, c) => sum + c.capacity, 0);
  const base = (capacity * BASE_UTILIZATION) / Math.max(1, shards.length);
  const weightOf = (shard: PlacedShard): number => shard.load + base;
  const byName = new Map<string, ServerLoad>();
  for (const candidate of candidates) {
    const room = candidate.capacity * candidate.readiness;
    byName.set(candidate.name, {candidate, usableCapacity: room, weight: 0, busy: 0, shardCount: 0});
  }
  const count = (server: ServerLoad, shard: PlacedShard, by: 1 | -1): void => {
    server.weight += by * weightOf(shard);
    server.busy += by * shard.load;
    server.shardCount += by;
  };
  const move: ServerLoads['move'] = (shard, from, to) => {
    if (from !== null) count(from, shard, -1);
    if (to !== null) count(to, shard, 1);
  };
  for (const shard of shards) {
    move(shard, null, byName.get(shard.server ?? '') ?? null);
  }
  return {byName, weightOf: weightOf, move};
}
