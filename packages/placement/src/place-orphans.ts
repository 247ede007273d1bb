import {rendezvousWeight} from '@banyandrum/base/hash.js';
import type {Candidate, Move, PlacedShard, PlanInput} from './plan.js';

/** What a candidate would carry while the plan is being made. */
export interface Carrier {
  readonly candidate: Candidate;
  /** Slots that it may be given. */
  readonly room: number;
  /** Slots kept busy by its shards, with each shard's share of a base load. */
  load: number;
}

/**
 * Each shard counts as some load even while nobody asks for it, so that an
 * idle cell spreads its shards too: all of them together as this share of
 * the candidates' room.
 */
const BASE_UTILISATION = 0.25;

/** A candidate that isn't ready still counts as a sliver, for division. */
const LEAST_ROOM = 1e-6;

/** The load that a shard counts with. */
export type ShardWeight = (shard: PlacedShard) => number;

/** Weighs shards against the room that there is. */
export function createShardWeight(input: PlanInput): ShardWeight {
  const room = input.candidates.reduce((sum, c) => sum + roomOf(c), 0);
  const base = (room * BASE_UTILISATION) / Math.max(1, input.shards.length);
  return shard => shard.load + base;
}

/** The candidates that may be given shards, with what they carry now. */
export function createCarriers(
  input: PlanInput,
  weigh: ShardWeight,
): ReadonlyMap<string, Carrier> {
  const carriers = new Map<string, Carrier>();
  for (const candidate of input.candidates) {
    if (candidate.readiness <= 0) continue;
    const room = Math.max(LEAST_ROOM, roomOf(candidate));
    carriers.set(candidate.name, {candidate, room, load: 0});
  }
  for (const shard of input.shards) {
    const carrier = shard.server ? carriers.get(shard.server) : undefined;
    if (carrier) carrier.load += weigh(shard);
  }
  return carriers;
}

/**
 * Finds a place for each shard that has none: nobody owns it, or its server
 * is no candidate any more. The heaviest goes first, each to the candidate
 * that it fills least. Empty where there is no candidate at all.
 *
 * @example
 * ```ts
 * const moves = placeOrphans(input.shards, carriers, weigh);
 * ```
 */
export function placeOrphans(
  shards: readonly PlacedShard[],
  carriers: ReadonlyMap<string, Carrier>,
  weigh: ShardWeight,
): readonly Move[] {
  if (carriers.size === 0) return [];
  return shards
    .filter(shard => !shard.server || !carriers.has(shard.server))
    .sort((a, b) => b.load - a.load || compareIds(a, b))
    .map(shard => placeOne(shard, carriers, weigh(shard)));
}

function placeOne(
  shard: PlacedShard,
  carriers: ReadonlyMap<string, Carrier>,
  weight: number,
): Move {
  let best: Carrier | null = null;
  for (const carrier of carriers.values()) {
    if (best === null || isBetter(shard, weight, carrier, best)) best = carrier;
  }
  if (best === null) throw new Error('no candidate');
  best.load += weight;
  return {
    shard: shard.shard,
    from: shard.server,
    to: best.candidate.name,
    reason: shard.server ? `${shard.server} is leaving` : 'nobody owned it',
  };
}

function isBetter(
  shard: PlacedShard,
  weight: number,
  a: Carrier,
  b: Carrier,
): boolean {
  const difference = (a.load + weight) / a.room - (b.load + weight) / b.room;
  if (Math.abs(difference) > Number.EPSILON) return difference < 0;
  const {shard: id} = shard;
  return (
    rendezvousWeight(id, a.candidate.name) >
    rendezvousWeight(id, b.candidate.name)
  );
}

function compareIds(a: PlacedShard, b: PlacedShard): number {
  return a.shard < b.shard ? -1 : 1;
}

function roomOf(candidate: Candidate): number {
  return candidate.capacity * candidate.readiness;
}
