import type {Failure, FailureCode} from '@banyandrum/base/failure.js';

/**
 * - `final`: the caller gets the failure at once.
 * - `follow`: the cell's leader may have changed; retry with a newer view.
 * - `again`: retry at the same leader after a delay.
 */
export type RetryAdvice = 'final' | 'follow' | 'again';

/** What a retry depends on, beside the budget and the deadline. */
export interface RetryContext {
  /** Whether the request must not be repeated. */
  readonly once: boolean;
  /** Whether the body can be sent again. */
  readonly whole: boolean;
}

type AdviceTable = Readonly<Partial<Record<FailureCode, RetryAdvice>>>;

/** Certainly not run: any request may be sent again. */
const NOT_RUN_ADVICE: AdviceTable = {
  'no-leader': 'follow',
  moved: 'follow',
  stopping: 'follow',
  'connection-lost': 'follow',
  fenced: 'follow',
  'no-owner': 'again',
};

/** May have run: only idempotent requests may be sent again. */
const MAY_HAVE_RUN_ADVICE: AdviceTable = {
  'connection-lost': 'follow',
  truncated: 'again',
  deadline: 'again',
  fenced: 'follow',
};

/**
 * Decides what to do with a failed request, by its verdict. An explicit
 * `overloaded` is final: a retry would delay the answer and add to the overload.
 *
 * @example
 * ```ts
 * adviseRetry(failure('not-run', 'moved', ''), {once: true, whole: true});
 * // 'follow'
 * ```
 */
export function adviseRetry(
  failed: Failure,
  context: RetryContext,
): RetryAdvice {
  if (!context.whole) return 'final';
  if (failed.verdict === 'not-run') {
    return NOT_RUN_ADVICE[failed.code] ?? 'final';
  }
  if (context.once) return 'final';
  return MAY_HAVE_RUN_ADVICE[failed.code] ?? 'final';
}

/**
 * Returns the failure for the caller after several attempts. If an earlier one
 * may have run, a later `not-run` would be wrong for the request.
 *
 * @example
 * ```ts
 * worstOf(lostAnswer, overloaded).verdict; // 'may-have-run'
 * ```
 */
export function worstOf(earlier: Failure | null, last: Failure): Failure {
  if (earlier === null || earlier.verdict === 'not-run') return last;
  if (last.verdict !== 'not-run') return last;
  return {...last, verdict: earlier.verdict};
}
