import type {Clock} from '@banyandrum/base/clock.js';
import {createStub} from './link-stub.js';
import {
  readTermEndAnswer,
  type TermEndAnswer,
  type TermEndQuestion,
} from './term-end.js';

/** Timeout of a question to the previous leader, in ms. */
const ANSWER_TIMEOUT_MS = 600;

/**
 * Asks the router at the address whether a term of its own has ended. Resolves
 * with null without an answer, also from an earlier version of the program.
 *
 * @example
 * ```ts
 * const answer = await askTermEnd(clock, '10.1.0.18:7520', question);
 * ```
 */
export function askTermEnd(
  clock: Clock,
  address: string,
  question: TermEndQuestion,
): Promise<TermEndAnswer | null> {
  const stub = createStub(address);
  return new Promise(resolve => {
    const onReply = (err: Error | null, reply?: unknown): void => {
      cancelTimer();
      stub.close();
      resolve(err === null ? readTermEndAnswer(reply) : null);
    };
    const call = stub.termEnd(question, onReply);
    // gRPC computes deadlines from the wall clock, which may jump.
    const cancelTimer = clock.after(ANSWER_TIMEOUT_MS, () => call.cancel());
  });
}
