import xxhash from 'xxhash-wasm';
import type {CellId, ShardId} from './ids.js';

const hasher = await xxhash();

const HASH_RANGE = 2 ** 32;

/**
 * A 32-bit hash of a string, the same in every process.
 *
 * @example
 * ```ts
 * hash32('ward-7'); // 0 to 2 ** 32 - 1
 * ```
 */
export function hash32(text: string): number {
  return hasher.h32(text) >>> 0;
}

/**
 * The index of the hash range that contains a key, of `count` equal ranges.
 *
 * @example
 * ```ts
 * rangeOf('ward-7', 64); // 0 to 63
 * ```
 */
export function rangeOf(key: string, count: number): number {
  return Math.floor((hash32(key) / HASH_RANGE) * count);
}

/** The range shard of a key; a hot key may have its own shard instead. */
export function shardOfKey(key: string, shards: number): ShardId {
  return String(rangeOf(key, shards));
}

/** The cell of a range shard; each cell contains adjacent ranges. */
export function cellOfShard(
  service: string,
  shard: number,
  shards: number,
  cells: number,
): CellId {
  return `${service}/${Math.floor((shard * cells) / shards)}`;
}

export function cellOfKey(
  service: string,
  key: string,
  shards: number,
  cells: number,
): CellId {
  return cellOfShard(service, rangeOf(key, shards), shards, cells);
}

/**
 * Rendezvous hashing: the weight of a candidate for an item. The candidate with
 * the highest weight is selected.
 *
 * @example
 * ```ts
 * const best = maxBy(hosts, host => rendezvousWeight('holds/0', host));
 * ```
 */
export function rendezvousWeight(item: string, candidate: string): number {
  return hash32(`${item}\u0000${candidate}`);
}
