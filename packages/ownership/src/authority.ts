import type {CellId, Offset} from '@banyandrum/base/ids.js';
import type {ShardTable} from './table.js';

/** A leader's right to act for one cell in one epoch. */
export interface Authority {
  readonly cell: CellId;
  readonly epoch: Offset;
  /** Whether the right holds at this very moment, by the monotonic clock. */
  mayAct(): boolean;
  /**
   * Puts a change of the table where a successor will find it, before the
   * change is carried out. `false`: not recorded, so don't carry it out.
   */
  record(table: ShardTable): Promise<boolean>;
}

/** What a new leader starts from. */
export interface InheritedState {
  /** The standby's complete table, or null where the servers must be asked. */
  readonly table: ShardTable | null;
  /**
   * Resolves when the previous leader cannot act any more. Before that, only
   * servers that check fences may be adopted, and no shard may move.
   */
  readonly cleared: Promise<void>;
}
