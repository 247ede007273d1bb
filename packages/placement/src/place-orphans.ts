import {rendezvousWeight} from '@banyandrum/base/hash.js';
import type {Carrier, Carriers} from './carriers.js';
import type {Move, PlacedShard} from './plan.js';

/**
 * Finds a place for each shard that has none: nobody owns it, or its server
 * may be given nothing any more. The heaviest goes first, each to the server
 * that it fills least. Adds what it places to the carriers' load. Empty where
 * no server may be given anything.
 *
 * @example
 * ```ts
 * const moves = placeOrphans(input.shards, carriers);
 * ```
 */
export function placeOrphans(
  shards: readonly PlacedShard[],
  carriers: Carriers,
): readonly Move[] {
  const receivers = [...carriers.byName.values()].filter(c => c.room > 0);
  if (receivers.length === 0) return [];
  return shards
    .filter(shard => !isPlaced(shard, carriers))
    .sort((a, b) => b.load - a.load || (a.shard < b.shard ? -1 : 1))
    .map(shard => placeOne(shard, receivers, carriers));
}

function isPlaced(shard: PlacedShard, carriers: Carriers): boolean {
  if (shard.pinned) return true;
  if (shard.server === null) return false;
  const carrier = carriers.byName.get(shard.server);
  return carrier !== undefined && carrier.candidate.readiness > 0;
}

function placeOne(
  shard: PlacedShard,
  receivers: readonly Carrier[],
  carriers: Carriers,
): Move {
  const weight = carriers.weigh(shard);
  const best = receivers.reduce((a, b) =>
    fillsLess(shard, weight, b, a) ? b : a,
  );
  const from = shard.server;
  carriers.move(shard, carriers.byName.get(from ?? '') ?? null, best);
  return {
    shard: shard.shard,
    from,
    to: best.candidate.name,
    reason: from === null ? 'nobody owned it' : `${from} is leaving`,
  };
}

function fillsLess(
  {shard}: PlacedShard,
  weight: number,
  a: Carrier,
  b: Carrier,
): boolean {
  const difference = (a.load + weight) / a.room - (b.load + weight) / b.room;
  if (Math.abs(difference) > 1e-9) return difference < 0;
  return (
    rendezvousWeight(shard, a.candidate.name) >
    rendezvousWeight(shard, b.candidate.name)
  );
}
