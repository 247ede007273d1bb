import type {RangeTable} from './table.js';

/** How writing a table ended. */
export type SaveResult =
  | 'saved'
  /** A newer leader has begun: this one must stop. */
  | 'fenced'
  /** Not written now; it may be tried again. */
  | 'failed';

/** Who leads as the record has it. */
export type LeaderRead =
  /** Null where nobody ever led. */
  | {readonly kind: 'read'; readonly address: string | null}
  | {readonly kind: 'failed'};

/**
 * Keeps the tables for good, for one leader at a time: once a leader has
 * begun, nothing that an earlier one writes is accepted, however late it
 * arrives.
 */
export interface TableStore {
  /**
   * Shuts earlier leaders out and records who begins, by its address for the
   * other routers; yields this leader's epoch, or null. Epochs rise over
   * restores of the store (`fence.ts`).
   */
  beginTerm(address: string): Promise<number | null>;
  /**
   * Whether nobody began after this leader, at the time of the question; null
   * where that isn't known, as after a restore of the store.
   */
  isNewestTerm(): Promise<boolean | null>;
  /** Who began last. */
  lastLeader(): Promise<LeaderRead>;
  /** The newest tables; null where they can't be read. */
  load(): Promise<readonly RangeTable[] | null>;
  /**
   * Writes a table; one call at a time. It fails once the store was restored:
   * what is saved stands in the history in which the term began.
   */
  save(table: RangeTable): Promise<SaveResult>;
}
