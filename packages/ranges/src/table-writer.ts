import {sleep, type Clock} from '@banyandrum/base/clock.js';
import type {TableStore, SaveResult} from './ledger.js';
import type {RangeTable} from './table.js';

/** Writes a service's table, one call at a time. */
export interface TableWriter {
  /**
   * Resolves with true once the table as it is now, or a newer one, is
   * written; with false once this leader is shut out or has stopped.
   */
  save(): Promise<boolean>;
  stop(): void;
}

/** Pause before a write that failed is tried again, in ms. */
const RETRY_DELAY_MS = 150;

/**
 * Makes the writer of the table that `current` yields. Changes made while a
 * write is under way share the next one.
 *
 * @example
 * ```ts
 * const loop = createSaveLoop(ledger, clock, () => table, onFenced);
 * if (await loop.save()) grant();
 * ```
 */
export function createTableWriter(
  ledger: Pick<TableStore, 'save'>,
  clock: Clock,
  current: () => RangeTable,
  onFenced: () => void,
): TableWriter {
  let isStopped = false;
  let running: Promise<boolean> | null = null;
  let queued: Promise<boolean> | null = null;

  const write = async (): Promise<boolean> => {
    while (!isStopped) {
      const end: SaveResult = await ledger.save(current());
      if (end === 'saved') return true;
      if (end === 'fenced') {
        isStopped = true;
        onFenced();
        return false;
      }
      await sleep(clock, RETRY_DELAY_MS);
    }
    return false;
  };

  const start = (): Promise<boolean> => {
    const run = write().finally(() => {
      if (running === run) running = null;
    });
    running = run;
    return run;
  };

  return {
    save() {
      if (running === null) return start();
      queued ??= running.then(() => {
        queued = null;
        return start();
      });
      return queued;
    },
    stop() {
      isStopped = true;
    },
  };
}
