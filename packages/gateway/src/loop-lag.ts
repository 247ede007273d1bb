import type {Clock} from '@banyandrum/base/clock.js';

/** Measures the event loop lag of this process. */
export interface LoopLagMonitor {
  /**
   * The lag that each of the last timers had at least, in ms. A single pause
   * doesn't count once it is over.
   */
  lagMs(): number;
  /** The same without the timer that is overdue now, which may be the first. */
  sustainedMs(): number;
  stop(): void;
}

/** Interval between samples, in ms. */
const SAMPLE_MS = 25;
/** A process that lags this many times in a row is short of processor time. */
const SAMPLES = 3;

/**
 * Measures how late timers fire. A process that is short of processor time
 * reads requests long after callers sent them.
 *
 * @example
 * ```ts
 * const loopLag = monitorLoopLag(clock);
 * if (loopLag.lagMs() > 100) refuse();
 * ```
 */
export function monitorLoopLag(clock: Clock): LoopLagMonitor {
  let lags: readonly number[] = Array.from({length: SAMPLES}, () => 0);
  let dueAt = clock.now() + SAMPLE_MS;

  const sample = (): void => {
    const now = clock.now();
    lags = [...lags.slice(1), Math.max(0, now - dueAt)];
    dueAt = now + SAMPLE_MS;
    cancel = clock.after(SAMPLE_MS, sample);
  };
  let cancel = clock.after(SAMPLE_MS, sample);

  return {
    // Includes the lag of the timer that is overdue now.
    lagMs: () => Math.max(0, clock.now() - dueAt, Math.min(...lags)),
    sustainedMs: () => Math.min(...lags),
    stop: () => cancel(),
  };
}
