import type {CellId, Fence, Offset, ShardId} from '@banyandrum/base/ids.js';

/**
 * Where one shard is.
 *
 * - `held`: `server` may serve it.
 * - `moving`: `server` may still serve it; it goes to `next` once released.
 * - `free`: no server may serve it.
 */
export type ShardState = 'held' | 'moving' | 'free';

export interface ShardEntry {
  readonly shard: ShardId;
  readonly state: ShardState;
  readonly server: string | null;
  readonly next: string | null;
}

/** A cell's whole table, as its leader streams it to the standby. */
export interface ShardTable {
  readonly cell: CellId;
  readonly epoch: Offset;
  /** Grows with each change within the epoch. */
  readonly version: number;
  readonly entries: readonly ShardEntry[];
  /** The highest fence used for each server, by name. */
  readonly fences: ReadonlyMap<string, Fence>;
  /**
   * The address at which each server was led, by name. A server that has
   * another one by now is another process.
   */
  readonly addresses?: ReadonlyMap<string, string>;
}
