import type {Clock} from '@banyandrum/base/clock.js';
import {createHeap, type HeapNode} from '@banyandrum/queueing/heap.js';

/** Virtual time: as fast as the work allows, and alike on every machine. */
export interface VirtualClock extends Clock {
  /** Moves time on by `ms`, running each timer at its own time. */
  run(ms: number): Promise<void>;
}

interface Timer extends HeapNode {
  readonly at: number;
  readonly order: number;
  readonly task: () => void;
}

/**
 * Makes a clock of virtual time that starts at 0. Between two timers it lets
 * all pending promises settle. Unlike the clock of the tests it keeps its
 * timers in a heap, since an experiment has many thousands of them.
 *
 * @example
 * ```ts
 * const clock = createVirtualClock();
 * clock.after(500, renew);
 * await clock.run(60_000);
 * ```
 */
export function createVirtualClock(): VirtualClock {
  const timers = createHeap<Timer>(
    (a, b) => a.at < b.at || (a.at === b.at && a.order < b.order),
  );
  let time = 0;
  let order = 0;

  const takeDue = (end: number): Timer | null => {
    const next = timers.top();
    if (next === undefined || next.at > end) return null;
    timers.remove(next);
    return next;
  };

  return {
    now: () => time,
    after(ms, task) {
      const at = time + Math.max(0, ms);
      const timer: Timer = {index: -1, at, order: order++, task};
      timers.push(timer);
      return () => void timers.remove(timer);
    },
    async run(ms) {
      const end = time + ms;
      await settle();
      for (let next = takeDue(end); next !== null; next = takeDue(end)) {
        time = next.at;
        next.task();
        await settle();
      }
      time = end;
    },
  };
}

/** Promises settle before the next turn of the event loop. */
function settle(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}
