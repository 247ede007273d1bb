import type {CancelSignal} from '@banyandrum/base/cancel.js';
import type {CellId, Offset} from '@banyandrum/base/ids.js';
import type {View} from '@banyandrum/config/state.js';
import type {DeadlineWheel} from './deadline.js';

/** Waits for newer views of cells. */
export interface ViewWatch {
  /**
   * Resolves with the first view whose epoch is higher than `epoch`; with null
   * at the time `until` or when `signal` aborts.
   */
  newerThan(
    cell: CellId,
    epoch: Offset,
    until: number,
    signal: CancelSignal,
  ): Promise<View | null>;
  close(): void;
}

export interface ViewWatchOptions {
  readonly leaderOf: (cell: CellId) => View | null;
  readonly subscribe: (listener: () => void) => () => void;
  readonly wheel: DeadlineWheel;
}

interface Waiter {
  readonly epoch: Offset;
  readonly settle: (view: View | null) => void;
}

/**
 * Creates a watch of the views in the log.
 *
 * @example
 * ```ts
 * const watch = createViewWatch({leaderOf, subscribe, wheel});
 * const view = await watch.newerThan('holds/0', 17, deadline, signal);
 * ```
 */
export function createViewWatch(options: ViewWatchOptions): ViewWatch {
  const waiting = new Map<CellId, Set<Waiter>>();

  const newer = (cell: CellId, epoch: Offset): View | null => {
    const view = options.leaderOf(cell);
    return view !== null && view.epoch > epoch ? view : null;
  };

  const wake = (): void => {
    for (const [cell, waiters] of waiting) {
      for (const waiter of [...waiters]) {
        const view = newer(cell, waiter.epoch);
        if (view !== null) waiter.settle(view);
      }
    }
  };

  const unsubscribe = options.subscribe(wake);

  return {
    newerThan(cell, epoch, until, signal) {
      const known = newer(cell, epoch);
      if (known !== null) return Promise.resolve(known);
      if (signal.aborted) return Promise.resolve(null);
      return new Promise(resolve => {
        const settle = (view: View | null): void => {
          remove(waiting, cell, waiter);
          cancel();
          signal.removeEventListener('abort', giveUp);
          resolve(view);
        };
        const giveUp = (): void => settle(null);
        const waiter: Waiter = {epoch, settle};
        const cancel = options.wheel.schedule(until, giveUp);
        signal.addEventListener('abort', giveUp);
        add(waiting, cell, waiter);
      });
    },
    close: unsubscribe,
  };
}

function add(
  waiting: Map<CellId, Set<Waiter>>,
  cell: CellId,
  waiter: Waiter,
): void {
  const waiters = waiting.get(cell) ?? new Set();
  waiters.add(waiter);
  waiting.set(cell, waiters);
}

function remove(
  waiting: Map<CellId, Set<Waiter>>,
  cell: CellId,
  waiter: Waiter,
): void {
  const waiters = waiting.get(cell);
  waiters?.delete(waiter);
  if (waiters?.size === 0) waiting.delete(cell);
}
