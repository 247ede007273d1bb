import {sleep, type Clock} from '@banyandrum/base/clock.js';
import type {TableStore, SaveResult} from './table-store.js';
import type {RangeTable} from './table.js';

/** Writes a service's table, one write at a time. */
export interface TableWriter {
  /**
   * Resolves with true once the current or a newer table is stored; with false
   * if this leader has been fenced off or stopped.
   */
  save(): Promise<boolean>;
  /** Time since the last write that succeeded was started, in ms. */
  sinceSavedMs(): number;
  stop(): void;
}

/** Delay before a failed write is retried, in ms. */
const RETRY_DELAY_MS = 150;
/**
 * Changes within this time are written together, in ms: many ranges move at the
 * same time when load shifts.
 */
const GATHER_MS = 5;

/**
 * Creates a writer for the table that `currentTable` returns. Changes made
 * until a write starts are combined in it.
 *
 * @example
 * ```ts
 * const writer = createTableWriter(tableStore, clock, () => table, onFenced);
 * if (await writer.save()) grantLeases();
 * ```
 */
export function createTableWriter(
  tableStore: Pick<TableStore, 'save'>,
  clock: Clock,
  currentTable: () => RangeTable,
  onFenced: () => void,
): TableWriter {
  let isStopped = false;
  let savedAt = -Infinity;
  let lastWrite: Promise<boolean> = Promise.resolve(true);
  let nextWrite: Promise<boolean> | null = null;

  const write = async (): Promise<boolean> => {
    while (!isStopped) {
      const startedAt = clock.now();
      const result: SaveResult = await tableStore.save(currentTable());
      if (result === 'saved') {
        savedAt = startedAt;
        return true;
      }
      if (result === 'fenced') {
        isStopped = true;
        onFenced();
        return false;
      }
      await sleep(clock, RETRY_DELAY_MS);
    }
    return false;
  };

  const runNext = async (): Promise<boolean> => {
    await lastWrite;
    await sleep(clock, GATHER_MS);
    nextWrite = null;
    lastWrite = write();
    return lastWrite;
  };

  return {
    save: () => (nextWrite ??= runNext()),
    sinceSavedMs: () => clock.now() - savedAt,
    stop() {
      isStopped = true;
    },
  };
}
