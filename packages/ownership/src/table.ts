import type {CellId, Fence, Offset, ShardId} from '@banyandrum/base/ids.js';

/**
 * Ownership state of one shard.
 *
 * - `held`: assigned to `server`, which may serve it.
 * - `moving`: `server` may still serve it; `next` gets it once released.
 * - `free`: no server may serve it.
 */
export type ShardState = 'held' | 'moving' | 'free';

export interface ShardEntry {
  readonly shard: ShardId;
  readonly state: ShardState;
  readonly server: string | null;
  readonly next: string | null;
}

/** The whole shard table of a cell, as its leader sends it to the standby. */
export interface ShardTable {
  readonly cell: CellId;
  readonly epoch: Offset;
  /** Increases with each change within the epoch. */
  readonly version: number;
  readonly entries: readonly ShardEntry[];
  /** Highest fence used for each server, by server name. */
  readonly fences: ReadonlyMap<string, Fence>;
  /**
   * Address at which the leader granted leases to each server, by name. A
   * server with another address now is another process.
   */
  readonly addresses?: ReadonlyMap<string, string>;
}
