import type {Candidate, PlacedShard, PlanInput} from './plan.js';

/** What one server carries while a plan is being made. */
export interface Carrier {
  readonly candidate: Candidate;
  /** Slots that it may be given: its capacity, as far as it is ready. */
  readonly room: number;
  /** Weight of its shards. */
  load: number;
}

/** All servers of a plan. */
export interface Carriers {
  readonly byName: ReadonlyMap<string, Carrier>;
  /** The weight that a shard counts with, in slots. */
  weigh(shard: PlacedShard): number;
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
    byName.set(candidate.name, {candidate, room, load: 0});
  }
  for (const shard of shards) {
    const carrier = shard.server === null ? null : byName.get(shard.server);
    if (carrier) carrier.load += weigh(shard);
  }
  return {byName, weigh};
}
