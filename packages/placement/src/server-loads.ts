import type {Candidate, PlacedShard, PlanInput} from './plan.js';

/** Load of one server, updated while a plan is being made. */
export interface ServerLoad {
  readonly candidate: Candidate;
  /** Capacity in slots, multiplied by the readiness. */
  readonly usableCapacity: number;
  /** Total weight of its shards. */
  weight: number;
  /** Number of slots that its shards keep busy. */
  busy: number;
  shardCount: number;
}

/** Loads of all servers of a plan. */
export interface ServerLoads {
  readonly byName: ReadonlyMap<string, ServerLoad>;
  /** The weight of a shard, in slots: its load plus a base load. */
  weightOf(shard: PlacedShard): number;
  /** Moves a shard's load from one server to another; null is no server. */
  move(
    shard: PlacedShard,
    from: ServerLoad | null,
    to: ServerLoad | null,
  ): void;
}

/**
 * Base load of all shards together, as a share of the servers' capacity. It
 * gives idle shards a weight, so that those of an idle cell are spread as well.
 */
const BASE_UTILIZATION = 0.25;

/**
 * Computes the current loads of the servers of a plan.
 *
 * @example
 * ```ts
 * const servers = createServerLoads(input);
 * servers.byName.get('bed-3')?.weight;
 * ```
 */
export function createServerLoads(input: PlanInput): ServerLoads {
  const {candidates, shards} = input;
  const capacity = candidates.reduce((sum, c) => sum + c.capacity, 0);
  const base = (capacity * BASE_UTILIZATION) / Math.max(1, shards.length);
  const weightOf = (shard: PlacedShard): number => shard.load + base;
  const byName = new Map<string, ServerLoad>();
  for (const candidate of candidates) {
    const usableCapacity = candidate.capacity * candidate.readiness;
    byName.set(candidate.name, {
      candidate,
      usableCapacity,
      weight: 0,
      busy: 0,
      shardCount: 0,
    });
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
  return {byName, weightOf, move};
}
