import type {CellId, Offset} from '@banyandrum/base/ids.js';
import type {ShardTable} from './table.js';

/** A leader's authority to act for one cell in one epoch. */
export interface Authority {
  readonly cell: CellId;
  readonly epoch: Offset;
  /** Whether the authority is valid now, by the monotonic clock. */
  mayAct(): boolean;
  /**
   * Stores a changed table where a successor finds it. Must complete before
   * the change is carried out; on `false` the table was not recorded and the
   * change must not be carried out.
   */
  record(table: ShardTable): Promise<boolean>;
}

/** The state that a new leader takes over from its predecessor. */
export interface InheritedState {
  /** The standby's complete table, or null if the servers must be queried. */
  readonly table: ShardTable | null;
  /**
   * Resolves when the previous leader can no longer act. Until then only
   * servers that check fences may be adopted and no shard may move.
   */
  readonly cleared: Promise<void>;
}
