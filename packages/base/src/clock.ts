import type {CancelSignal} from './cancel.js';

/** Cancels a timer; calling it again does nothing. */
export type CancelTimer = () => void;

/** Monotonic time and timers, injected so that tests can drive them. */
export interface Clock {
  /** Monotonic time in ms; only differences mean anything. */
  now(): number;
  /** Runs `task` once after `ms`. */
  after(ms: number, task: () => void): CancelTimer;
}

/**
 * The process's clock. It looks the globals up at each call, so that
 * `t.clock` of the tests takes effect.
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
 * Resolves after `ms`, or at once when `signal` aborts; never rejects.
 * Callers look at the signal afterwards.
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
