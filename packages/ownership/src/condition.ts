import type {Clock} from '@banyandrum/base/clock.js';

/** Condition variable: tasks wait on it until another task notifies them. */
export interface Condition {
  /** Wakes all waiters. */
  notify(): void;
  /** Resolves at the next `notify`, after `ms`, or when `signal` aborts. */
  wait(ms: number, signal?: AbortSignal): Promise<void>;
}

/**
 * Creates a condition. A wake-up says nothing about the state, so waiters must
 * check it again.
 *
 * @example
 * ```ts
 * while (!isReleased() && !signal.aborted) {
 *   await changed.wait(msUntilExpiry(), signal);
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
 * Resolves when the promise resolves, or as soon as the signal aborts. Callers
 * check the signal afterwards to tell the two apart.
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
  const listening = new AbortController();
  const aborted = new Promise<void>(resolve => {
    signal.addEventListener('abort', () => resolve(), {
      signal: listening.signal,
    });
  });
  try {
    await Promise.race([promise, aborted]);
  } finally {
    listening.abort();
  }
}

/**
 * Resolves to whether the promise resolves within `ms`.
 *
 * @example
 * ```ts
 * const isClosed = await resolvesWithin(clock, 1000, gate.close(cell, shard));
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
 * Runs `task` with a signal that aborts after `ms` or when `signal` aborts.
 * Removes its listener afterwards. `AbortSignal.any` is not used because a
 * source signal that lives as long as the process would accumulate dependent
 * signals.
 *
 * @example
 * ```ts
 * const result = await withTimeout(clock, 300, signal, taskSignal =>
 *   client.order(server, order, taskSignal),
 * );
 * ```
 */
export async function withTimeout<T>(
  clock: Clock,
  ms: number,
  signal: AbortSignal,
  task: (taskSignal: AbortSignal) => Promise<T>,
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
