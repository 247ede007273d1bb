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
  readonly run: () => Promise<Outcome>;
  readonly wheel: DeadlineWheel;
  readonly deadline: number;
  /** Verdict where the attempt ends without one. */
  readonly verdict: () => Verdict;
  /** Called once. */
  readonly done: (outcome: Outcome) => void;
}

/**
 * Runs one attempt and ends it shortly after the deadline, whatever happens:
 * without that, a hop that never answers would keep the caller's request and
 * its slot for good. An exception counts like no word. An answer that comes
 * after that is closed unread.
 *
 * @example
 * ```ts
 * guardDeadline({
 *   run: () => client.send(server, dispatch),
 *   wheel,
 *   deadline: req.deadline,
 *   verdict: () => (written ? 'may-have-run' : 'not-run'),
 *   done: outcome => pending.resolve(outcome),
 * });
 * ```
 */
export function guardDeadline(options: GuardOptions): void {
  const {wheel, deadline, verdict} = options;
  let open = true;
  const settle = (outcome: Outcome): void => {
    if (!open) return discard(outcome);
    open = false;
    cancel();
    options.done(outcome);
  };
  const cancel = wheel.schedule(deadline + VERDICT_GRACE_MS, () =>
    settle(Err(silence(verdict()))),
  );
  options.run().then(settle, err => settle(Err(failureOf(err, verdict()))));
}

function silence(verdict: Verdict): Failure {
  return failure(verdict, 'deadline', 'no answer by the deadline');
}

function discard(outcome: Outcome): void {
  if (outcome.err || outcome.val.body instanceof Uint8Array) return;
  const iterator = outcome.val.body[Symbol.asyncIterator]();
  iterator.return?.().catch(() => {});
}
