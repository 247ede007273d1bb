import type {Candidate, PlacedShard, PlanInput} from './plan.js';

/** What one server carries while a plan is being made. */
export interface Carrier {
  readonly candidate: Candidate;
  /** Slots that it may be given: its capacity, as far as it is ready. */
  readonly room: number;
  /** Weight of its shards. */
  load: number;
  /** Slots that its shards keep busy. */
  busy: number;
  /** How many shards it has. */
  count: number;
}

/** All servers of a plan. */
export interface Carriers {
  readonly byName: ReadonlyMap<string, Carrier>;
  /** The weight that a shard counts with, in slots. */
  weigh(shard: PlacedShard): number;
  /** Counts a shard at another server; null is no server. */
  move(shard: PlacedShard, from: Carrier | null, to: Carrier | null): void;
}

/**
 * Each shard counts as some load even while nobody asks for it, so that an
 * idle cell spreads its shards too: all of them together as this share of the
 * servers' capacity.
 */
const BASE_UTILISATION = 0.25;

/**
 * The servers of a plan with what they carry now.
 *
 * @example
 * ```ts
 * const carriers = createCarriers(input);
 * carriers.byName.get('bed-3')?.load;
 * ```
 */
export function createCarriers(input: PlanInput): Carriers {
  const {candidates, shards} = input;
  const capacity = candidates.reduce((sum, c) => sum + c.capacity, 0);
  const base = (capacity * BASE_UTILISATION) / Math.max(1, shards.length);
  const weigh = (shard: PlacedShard): number => shard.load + base;
  const byName = new Map<string, Carrier>();
  for (const candidate of candidates) {
    const room = candidate.capacity * candidate.readiness;
    byName.set(candidate.name, {candidate, room, load: 0, busy: 0, count: 0});
  }
  const count = (carrier: Carrier, shard: PlacedShard, by: 1 | -1): void => {
    carrier.load += by * weigh(shard);
    carrier.busy += by * shard.load;
    carrier.count += by;
  };
  const move: Carriers['move'] = (shard, from, to) => {
    if (from !== null) count(from, shard, -1);
    if (to !== null) count(to, shard, 1);
  };
  for (const shard of shards) {
    move(shard, null, byName.get(shard.server ?? '') ?? null);
  }
  return {byName, weigh, move};
}
