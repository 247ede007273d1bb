import {failure, failureOf, type Failure} from '@banyandrum/base/failure.js';
import type {ServiceAnswer} from '@banyandrum/base/request.js';
import {Err, type Result} from '@banyandrum/base/result.js';
import type {Verdict} from '@banyandrum/base/verdict.js';
import type {DeadlineWheel} from './deadline.js';

/** What an attempt yields. */
export type Outcome = Result<ServiceAnswer, Failure>;

/** How long after a deadline the next hop's own verdict is waited for. */
export const VERDICT_GRACE_MS = 250;

/** How an attempt is judged that ends without a word of its own. */
export interface GuardOptions {
  readonly wheel: DeadlineWheel;
  readonly deadline: number;
  /** Verdict where the attempt ends without one. */
  readonly verdict: () => Verdict;
}

/**
 * Runs one attempt and ends it shortly after the deadline, whatever happens:
 * without that, a hop that never answers would keep the caller's request and
 * its slot for good. An exception counts like no word. An answer that comes
 * after that is closed unread.
 *
 * @example
 * ```ts
 * const outcome = await guardDeadline(() => client.send(server, dispatch), {
 *   wheel,
 *   deadline: req.deadline,
 *   verdict: () => (written ? 'may-have-run' : 'not-run'),
 * });
 * ```
 */
export function guardDeadline(
  run: () => Promise<Outcome>,
  options: GuardOptions,
): Promise<Outcome> {
  return new Promise(resolve => {
    let open = true;
    const settle = (outcome: Outcome): void => {
      if (!open) return discard(outcome);
      open = false;
      cancel();
      resolve(outcome);
    };
    const cancel = options.wheel.schedule(
      options.deadline + VERDICT_GRACE_MS,
      () => settle(Err(silence(options.verdict()))),
    );
    run().then(settle, err => settle(Err(failureOf(err, options.verdict()))));
  });
}

function silence(verdict: Verdict): Failure {
  return failure(verdict, 'deadline', 'no answer by the deadline');
}

function discard(outcome: Outcome): void {
  if (outcome.err || outcome.val.body instanceof Uint8Array) return;
  const iterator = outcome.val.body[Symbol.asyncIterator]();
  iterator.return?.().catch(() => {});
}
