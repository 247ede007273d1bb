import type {Clock} from '@banyandrum/base/clock.js';

/** Lets tasks wait for a change that another one announces. */
export interface Condition {
  /** Wakes everybody who waits. */
  notify(): void;
  /** Resolves at the next `notify`, after `ms`, or when `signal` aborts. */
  wait(ms: number, signal?: AbortSignal): Promise<void>;
}

/**
 * Makes a condition. Waiters look at the state again after they wake.
 *
 * @example
 * ```ts
 * while (!isReleased() && !signal.aborted) {
 *   await changed.wait(untilLapse(), signal);
 * }
 * ```
 */
export function createCondition(clock: Clock): Condition {
  const waiters = new Set<() => void>();

  const wait = (ms: number, signal?: AbortSignal): Promise<void> => {
    if (signal?.aborted) return Promise.resolve();
    return new Promise(resolve => {
      const finish = (): void => {
        cancel();
        waiters.delete(finish);
        signal?.removeEventListener('abort', finish);
        resolve();
      };
      const cancel = Number.isFinite(ms)
        ? clock.after(ms, finish)
        : (): void => {};
      waiters.add(finish);
      signal?.addEventListener('abort', finish);
    });
  };

  const notify = (): void => {
    for (const finish of [...waiters]) finish();
  };

  return {notify, wait};
}
