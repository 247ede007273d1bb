import type {RangeTable} from './table.js';

/** How writing a table ended. */
export type SaveEnd =
  | 'saved'
  /** A newer leader has begun: this one must stop. */
  | 'fenced'
  /** Not written now; it may be tried again. */
  | 'failed';

/**
 * Keeps the tables for good, for one leader at a time: once a leader has
 * begun, nothing that an earlier one writes is accepted, however late it
 * arrives.
 */
export interface Ledger {
  /** Shuts earlier leaders out; yields this leader's epoch, or null. */
  begin(): Promise<number | null>;
  /** The newest tables; null where they can't be read. */
  load(): Promise<readonly RangeTable[] | null>;
  /** Writes a table; one call at a time. */
  save(table: RangeTable): Promise<SaveEnd>;
}
