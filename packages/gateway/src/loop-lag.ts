import type {Clock} from '@banyandrum/base/clock.js';

/** How late this process comes to its work. */
export interface LoopLag {
  /**
   * By how much timers were late each of the last times, in ms: a single pause
   * doesn't show, unless it lasts now.
   */
  ms(): number;
  stop(): void;
}

/** Timers are looked at this often, in ms. */
const STEP_MS = 25;
/** Late so many times in a row, a process is short of processor time. */
const STEPS = 3;

/**
 * Watches by how much timers are late. A process whose processor is used up
 * reads what callers sent long after they sent it.
 *
 * @example
 * ```ts
 * const lag = watchLag(clock);
 * if (lag.ms() > 100) refuse();
 * ```
 */
export function watchLag(clock: Clock): LoopLag {
  let lags: readonly number[] = Array.from({length: STEPS}, () => 0);
  let dueAt = clock.now() + STEP_MS;

  const look = (): void => {
    const now = clock.now();
    lags = [...lags.slice(1), Math.max(0, now - dueAt)];
    dueAt = now + STEP_MS;
    cancel = clock.after(STEP_MS, look);
  };
  let cancel = clock.after(STEP_MS, look);

  return {
    // What is late right now has not been noted yet.
    ms: () => Math.max(0, clock.now() - dueAt, Math.min(...lags)),
    stop: () => cancel(),
  };
}
