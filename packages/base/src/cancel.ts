/**
 * Signals that an operation was cancelled: the part of `AbortSignal` that
 * requests use.
 */
export interface CancelSignal {
  readonly aborted: boolean;
  /** What `abort` was called with. */
  readonly reason?: unknown;
  addEventListener(type: 'abort', listener: () => void): void;
  removeEventListener(type: 'abort', listener: () => void): void;
}

/** Cancels an operation; the part of `AbortController` that requests use. */
export interface Canceller {
  readonly signal: CancelSignal;
  abort(reason?: unknown): void;
}

/**
 * Reason for a cancellation because this process ends. Unlike one whose caller
 * has left, such a request still needs an answer.
 */
export const STOPPING = 'stopping';

/**
 * Creates a lightweight canceller for use in each request: an `AbortController`
 * with its listeners took about 7 % of the time of a small request in each
 * router. It behaves the same: listeners are called once each, in the order in
 * which they were added; those removed meanwhile are skipped; and an exception
 * in a listener doesn't stop the others, but is thrown as an uncaught
 * exception, which ends the process.
 *
 * @example
 * ```ts
 * const canceller = createCanceller();
 * canceller.signal.addEventListener('abort', stop);
 * canceller.abort();
 * ```
 */
export function createCanceller(): Canceller {
  let listeners: (() => void)[] = [];
  const signal = {
    aborted: false,
    reason: undefined as unknown,
    addEventListener(_: 'abort', listener: () => void): void {
      if (!listeners.includes(listener)) listeners.push(listener);
    },
    removeEventListener(_: 'abort', listener: () => void): void {
      const at = listeners.indexOf(listener);
      if (at >= 0) listeners.splice(at, 1);
    },
  };
  const abort = (reason?: unknown): void => {
    if (signal.aborted) return;
    signal.aborted = true;
    signal.reason = reason;
    for (const listener of [...listeners]) {
      if (listeners.includes(listener)) callListener(listener);
    }
    listeners = [];
  };
  return {signal, abort};
}

function callListener(listener: () => void): void {
  try {
    listener();
  } catch (err) {
    process.nextTick(() => {
      throw err;
    });
  }
}
