import {failure, failureOf, type Failure} from '@banyandrum/base/failure.js';
import type {ServiceAnswer} from '@banyandrum/base/request.js';
import {Err, type Result} from '@banyandrum/base/result.js';
import type {Verdict} from '@banyandrum/base/verdict.js';
import type {DeadlineWheel} from './deadline.js';

/** Result of an attempt. */
export type Outcome = Result<ServiceAnswer, Failure>;

/** Time after a deadline to wait for the next hop's verdict, in ms. */
export const VERDICT_GRACE_MS = 250;

/** An attempt, and its verdict if it ends without one. */
export interface GuardOptions {
  readonly run: () => Promise<Outcome>;
  readonly wheel: DeadlineWheel;
  readonly deadline: number;
  /** Verdict if the attempt ends without one. */
  readonly verdict: () => Verdict;
  /** Called once. */
  readonly done: (outcome: Outcome) => void;
}

/**
 * Runs one attempt and ends it shortly after the deadline at the latest.
 * Otherwise a hop that never answers would keep the caller's request and its
 * slot forever. An exception counts as no verdict. A later answer is closed
 * without reading it.
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
  let isOpen = true;
  const settle = (outcome: Outcome): void => {
    if (!isOpen) return discard(outcome);
    isOpen = false;
    cancel();
    options.done(outcome);
  };
  const cancel = wheel.schedule(deadline + VERDICT_GRACE_MS, () =>
    settle(Err(noVerdict(verdict()))),
  );
  options.run().then(settle, err => settle(Err(failureOf(err, verdict()))));
}

function noVerdict(verdict: Verdict): Failure {
  return failure(verdict, 'deadline', 'no answer by the deadline');
}

function discard(outcome: Outcome): void {
  if (outcome.err || outcome.val.body instanceof Uint8Array) return;
  const iterator = outcome.val.body[Symbol.asyncIterator]();
  iterator.return?.().catch(() => {});
}
