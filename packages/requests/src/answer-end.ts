import type {Body, ServiceAnswer} from '@banyandrum/base/request.js';

/** An answer and how to learn of its end. */
export interface WatchedAnswer {
  readonly answer: ServiceAnswer;
  /** Counts the answer as ended, if it has not ended yet. */
  end(): void;
}

/**
 * Calls `ended` once, when the answer's body came whole, failed or was given
 * up by its reader: until then the server is still busy with it. A body in
 * one piece has ended already.
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
  let open = true;
  const finish = (whole: boolean): void => {
    if (!open) return;
    open = false;
    ended(whole);
  };
  const body = watched(received.body, finish);
  return {answer: {...received, body}, end: () => finish(false)};
}

/**
 * A generator would not do: given up before its first piece, it runs none of
 * its clean-up, and the slot would stay taken.
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
