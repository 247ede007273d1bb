import type {Body, ServiceAnswer} from '@banyandrum/base/request.js';

/** An answer whose end is tracked. */
export interface WatchedAnswer {
  readonly answer: ServiceAnswer;
  /** Marks the answer as ended, unless it has ended. */
  end(): void;
}

/**
 * Calls `ended` once, when the answer's body is complete, failed or abandoned by
 * its reader. The server is busy until then. A buffered body has ended already.
 *
 * @example
 * ```ts
 * const {answer} = watchAnswerEnd(received, whole => slots.give());
 * ```
 */
export function watchAnswerEnd(
  received: ServiceAnswer,
  ended: (whole: boolean) => void,
): WatchedAnswer {
  if (received.body instanceof Uint8Array) {
    ended(true);
    return {answer: received, end: () => {}};
  }
  let isOpen = true;
  const finish = (whole: boolean): void => {
    if (!isOpen) return;
    isOpen = false;
    ended(whole);
  };
  const body = watched(received.body, finish);
  return {answer: {...received, body}, end: () => finish(false)};
}

/**
 * Wraps the body. A generator that is abandoned before its first chunk would
 * skip its cleanup, and the slot would never be released.
 */
function watched(
  body: AsyncIterable<Uint8Array>,
  finish: (whole: boolean) => void,
): Body {
  return {
    [Symbol.asyncIterator]() {
      const inner = body[Symbol.asyncIterator]();
      return {
        async next() {
          try {
            const step = await inner.next();
            if (step.done) finish(true);
            return step;
          } catch (err) {
            finish(false);
            throw err;
          }
        },
        async return() {
          try {
            await inner.return?.();
          } finally {
            finish(false);
          }
          return {done: true, value: undefined};
        },
      };
    },
  };
}
