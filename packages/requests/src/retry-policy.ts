import type {Failure, FailureCode} from '@banyandrum/base/failure.js';

/**
 * - `final`: passed to the caller at once.
 * - `follow`: the cell's leader may have changed; a newer view helps.
 * - `again`: the same leader may do better a little later.
 */
export type RetryAdvice = 'final' | 'follow' | 'again';

/** What a retry depends on, beside the budget and the deadline. */
export interface RetryContext {
  /** The request must not be repeated. */
  readonly once: boolean;
  /** The body can be sent once more. */
  readonly whole: boolean;
}

type AdviceTable = Readonly<Partial<Record<FailureCode, RetryAdvice>>>;

/** Proved not run: safe to send again, whatever the request. */
const NOT_RUN_ADVICE: AdviceTable = {
  'no-leader': 'follow',
  moved: 'follow',
  stopping: 'follow',
  'connection-lost': 'follow',
  fenced: 'follow',
  'no-owner': 'again',
};

/** May have run: only for requests that may run twice. */
const MAY_HAVE_RUN_ADVICE: AdviceTable = {
  'connection-lost': 'follow',
  truncated: 'again',
  deadline: 'again',
  fenced: 'follow',
};

/**
 * What to do with a failed request, by its verdict. An explicit `overloaded`
 * is final: retrying it here would hold back the caller's answer and feed
 * the overload.
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
 * The failure that the caller sees after several attempts. If an earlier one
 * may have run, a later `not-run` alone would be a lie about the request.
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
