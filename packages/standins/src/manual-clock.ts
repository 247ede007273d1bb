import type {Clock} from '@banyandrum/base/clock.js';

/** A clock that stands still until a test moves it. */
export interface ManualClock extends Clock {
  /**
   * Moves time on by `ms`, running each timer at its own time. Between timers
   * it lets pending promises and I/O callbacks settle.
   */
  advance(ms: number): Promise<void>;
}

interface Timer {
  readonly at: number;
  readonly order: number;
  readonly task: () => void;
}

const SETTLE_TURNS = 4;

/**
 * Makes a clock for tests; it starts at `start` ms.
 *
 * @example
 * ```ts
 * const clock = createManualClock();
 * clock.after(500, renew);
 * await clock.advance(500); // renew has run
 * ```
 */
export function createManualClock(start = 0): ManualClock {
  let time = start;
  let order = 0;
  const timers = new Set<Timer>();

  const advance = async (ms: number): Promise<void> => {
    const end = time + ms;
    await settle();
    for (;;) {
      const next = earliest(timers, end);
      if (next === null) break;
      timers.delete(next);
      time = next.at;
      next.task();
      await settle();
    }
    time = end;
    await settle();
  };

  return {
    now: () => time,
    after(ms, task) {
      const timer = {at: time + Math.max(0, ms), order: order++, task};
      timers.add(timer);
      return () => {
        timers.delete(timer);
      };
    },
    advance,
  };
}

function earliest(timers: ReadonlySet<Timer>, end: number): Timer | null {
  let best: Timer | null = null;
  for (const timer of timers) {
    if (timer.at > end) continue;
    if (best === null || isBefore(timer, best)) best = timer;
  }
  return best;
}

function isBefore(a: Timer, b: Timer): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order);
}

async function settle(): Promise<void> {
  for (let turn = 0; turn < SETTLE_TURNS; turn++) {
    await new Promise(resolve => setImmediate(resolve));
  }
}
