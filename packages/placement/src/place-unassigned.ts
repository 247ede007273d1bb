import {rendezvousWeight} from '@banyandrum/base/hash.js';
import type {ServerLoad, ServerLoads} from './server-loads.js';
import type {Move, PlacedShard} from './plan.js';

/**
 * Assigns a server to each shard that needs one: it has no owner, or its server
 * may no longer own shards. Shards with the highest load are placed first,
 * each on the server that is least utilized with it. Updates the server loads.
 * Returns no moves if no server can take shards.
 *
 * @example
 * ```ts
 * const moves = placeUnassigned(input.shards, servers);
 * ```
 */
export function placeUnassigned(
  shards: readonly PlacedShard[],
  servers: ServerLoads,
): readonly Move[] {
  const receivers = [...servers.byName.values()].filter(
    c => c.usableCapacity > 0,
  );
  if (receivers.length === 0) return [];
  return shards
    .filter(shard => !isPlaced(shard, servers))
    .sort((a, b) => b.load - a.load || (a.shard < b.shard ? -1 : 1))
    .map(shard => placeShard(shard, receivers, servers));
}

function isPlaced(shard: PlacedShard, servers: ServerLoads): boolean {
  if (shard.pinned) return true;
  if (shard.server === null) return false;
  const server = servers.byName.get(shard.server);
  return server !== undefined && server.candidate.readiness > 0;
}

function placeShard(
  shard: PlacedShard,
  receivers: readonly ServerLoad[],
  servers: ServerLoads,
): Move {
  const weight = servers.weightOf(shard);
  const best = receivers.reduce((a, b) =>
    fillsLess(shard, weight, b, a) ? b : a,
  );
  const from = shard.server;
  servers.move(shard, servers.byName.get(from ?? '') ?? null, best);
  return {
    shard: shard.shard,
    from,
    to: best.candidate.name,
    reason: from === null ? 'shard had no owner' : `${from} is leaving`,
  };
}

function fillsLess(
  {shard}: PlacedShard,
  weight: number,
  a: ServerLoad,
  b: ServerLoad,
): boolean {
  const difference =
    (a.weight + weight) / a.usableCapacity -
    (b.weight + weight) / b.usableCapacity;
  if (Math.abs(difference) > 1e-9) return difference < 0;
  return (
    rendezvousWeight(shard, a.candidate.name) >
    rendezvousWeight(shard, b.candidate.name)
  );
}
