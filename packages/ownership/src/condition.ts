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

/**
 * Resolves with the promise, or at once when the signal aborts. Callers look
 * at the signal afterwards.
 *
 * @example
 * ```ts
 * await untilAborted(gate.close(cell, shard), signal);
 * if (signal.aborted) return;
 * ```
 */
export async function untilAborted(
  promise: Promise<unknown>,
  signal: AbortSignal,
): Promise<void> {
  if (signal.aborted) return;
  const ended = new AbortController();
  const aborted = new Promise<void>(resolve => {
    signal.addEventListener('abort', () => resolve(), {signal: ended.signal});
  });
  try {
    await Promise.race([promise, aborted]);
  } finally {
    ended.abort();
  }
}

/**
 * Whether the promise resolves within `ms`.
 *
 * @example
 * ```ts
 * if (!(await within(clock, 1000, gate.close(cell, shard)))) giveUp();
 * ```
 */
export function resolvesWithin(
  clock: Clock,
  ms: number,
  promise: Promise<unknown>,
): Promise<boolean> {
  return new Promise((resolve, reject) => {
    const cancel = clock.after(ms, () => resolve(false));
    promise.then(() => resolve(true), reject).finally(cancel);
  });
}

/**
 * Runs `task` with a signal that aborts after `ms`, or when `signal` does.
 * One listener for each call and none left behind: `AbortSignal.any` over a
 * signal that lives as long as the process would keep growing.
 *
 * @example
 * ```ts
 * const result = await withTimeout(clock, 300, signal, ended =>
 *   client.order(server, order, ended),
 * );
 * ```
 */
export async function withTimeout<T>(
  clock: Clock,
  ms: number,
  signal: AbortSignal,
  task: (ended: AbortSignal) => Promise<T>,
): Promise<T> {
  const controller = new AbortController();
  const abort = (): void => controller.abort();
  const cancel = clock.after(ms, abort);
  signal.addEventListener('abort', abort);
  if (signal.aborted) abort();
  try {
    return await task(controller.signal);
  } finally {
    cancel();
    signal.removeEventListener('abort', abort);
  }
}
