import type {Verdict} from './verdict.js';

/** Stable failure codes; part of the responses to callers. */
export type FailureCode =
  | 'bad-request'
  | 'unknown-service'
  | 'too-large'
  | 'overloaded'
  | 'deadline'
  | 'cancelled'
  | 'no-leader'
  | 'no-owner'
  | 'moved'
  | 'fenced'
  | 'refused'
  | 'quarantined'
  | 'unreachable'
  | 'evacuated'
  | 'connection-lost'
  | 'truncated'
  | 'stopping'
  | 'internal';

/** Why a request failed, and whether it may have been executed. */
export interface Failure {
  readonly verdict: Verdict;
  readonly code: FailureCode;
  /** One line for humans; never parsed. */
  readonly detail: string;
  /** Delay before a retry, in ms; absent if a retry won't help. */
  readonly retryAfterMs?: number;
}

/**
 * A failure as an exception, for body iterators, which can only throw.
 *
 * @example
 * ```ts
 * throw new FailureError(failure('ran', 'truncated', 'answer cut short'));
 * ```
 */
export class FailureError extends Error {
  constructor(readonly failure: Failure) {
    super(`${failure.code}: ${failure.detail}`);
    this.name = 'FailureError';
  }
}

/**
 * Creates a failure.
 *
 * @example
 * ```ts
 * failure('not-run', 'overloaded', 'queue is full', 200);
 * ```
 */
export function failure(
  verdict: Verdict,
  code: FailureCode,
  detail: string,
  retryAfterMs?: number,
): Failure {
  if (retryAfterMs === undefined) return {verdict, code, detail};
  return {verdict, code, detail, retryAfterMs};
}

/**
 * The failure inside an exception, or `internal` with the given verdict.
 *
 * @example
 * ```ts
 * const {verdict} = failureOf(err, 'may-have-run');
 * ```
 */
export function failureOf(err: unknown, verdict: Verdict): Failure {
  if (err instanceof FailureError) return err.failure;
  const detail = err instanceof Error ? err.message : String(err);
  return failure(verdict, 'internal', detail);
}
