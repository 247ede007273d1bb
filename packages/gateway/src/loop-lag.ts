import type {Clock} from '@banyandrum/base/clock.js';

/** How late this process comes to its work. */
export interface LoopLagMonitor {
  /**
   * By how much timers were late each of the last times, in ms: a single pause
   * doesn't show, unless it lasts now.
   */
  lagMs(): number;
  stop(): void;
}

/** Timers are looked at this often, in ms. */
const SAMPLE_MS = 25;
/** Late so many times in a row, a process is short of processor time. */
const SAMPLES = 3;

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
    // What is late right now has not been noted yet.
    lagMs: () => Math.max(0, clock.now() - dueAt, Math.min(...lags)),
    stop: () => cancel(),
  };
}
