import type {ServiceAnswer} from '@banyandrum/base/request.js';

/**
 * Calls `end` once, when the answer's body has ended, failed or was given up
 * by its reader: until then the server is still busy with it. A body in one
 * piece has ended already.
 *
 * @example
 * ```ts
 * const answer = watchAnswerEnd(received, () => slots.give());
 * ```
 */
export function watchAnswerEnd(
  answer: ServiceAnswer,
  end: () => void,
): ServiceAnswer {
  if (answer.body instanceof Uint8Array) {
    end();
    return answer;
  }
  return {...answer, body: watched(answer.body, end)};
}

/**
 * A generator would not do: given up before its first piece, it runs none of
 * its clean-up, and the slot would stay taken.
 */
function watched(
  body: AsyncIterable<Uint8Array>,
  end: () => void,
): AsyncIterable<Uint8Array> {
  return {
    [Symbol.asyncIterator]() {
      const inner = body[Symbol.asyncIterator]();
      return {
        async next() {
          try {
            const step = await inner.next();
            if (step.done) end();
            return step;
          } catch (err) {
            end();
            throw err;
          }
        },
        async return() {
          try {
            await inner.return?.();
          } finally {
            end();
          }
          return {done: true, value: undefined};
        },
      };
    },
  };
}
