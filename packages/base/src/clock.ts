import type {CancelSignal} from './cancel.js';

/** Cancels a timer; calling it again does nothing. */
export type CancelTimer = () => void;

/** Monotonic time and timers, injected so that tests can control them. */
export interface Clock {
  /** Monotonic time in ms; only differences are meaningful. */
  now(): number;
  /** Runs `task` once after `ms`. */
  after(ms: number, task: () => void): CancelTimer;
}

/**
 * Creates a clock from the process's globals. It looks them up at each call, so
 * that tests can replace them with `t.clock`.
 *
 * @example
 * ```ts
 * const clock = createClock();
 * const cancel = clock.after(500, renew);
 * ```
 */
export function createClock(): Clock {
  return {
    now: () => performance.now(),
    after(ms, task) {
      const timer = setTimeout(task, ms);
      return () => clearTimeout(timer);
    },
  };
}

/**
 * Resolves after `ms`, or as soon as `signal` aborts; never rejects. The caller
 * checks the signal afterwards.
 *
 * @example
 * ```ts
 * while (!signal.aborted) {
 *   await renew();
 *   await sleep(clock, 500, signal);
 * }
 * ```
 */
export function sleep(
  clock: Clock,
  ms: number,
  signal?: CancelSignal,
): Promise<void> {
  if (signal?.aborted) return Promise.resolve();
  return new Promise(resolve => {
    const finish = (): void => {
      cancel();
      signal?.removeEventListener('abort', finish);
      resolve();
    };
    const cancel = clock.after(ms, finish);
    signal?.addEventListener('abort', finish);
  });
}
