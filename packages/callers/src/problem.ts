import type {ServerResponse} from 'node:http';
import type {Failure, FailureCode} from '@banyandrum/base/failure.js';
import type {Verdict} from '@banyandrum/base/verdict.js';

/** The body of an error answer, after RFC 9457. */
export interface Problem {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  readonly verdict: Verdict;
  readonly code: FailureCode;
  readonly requestId: string;
  readonly retryAfterMs?: number;
}

interface ProblemKind {
  readonly status: number;
  readonly title: string;
  /** When to come back where the failure doesn't say and nothing has run. */
  readonly retryAfterMs?: number;
}

export const PROBLEM_KINDS: Readonly<Record<FailureCode, ProblemKind>> = {
  'bad-request': {status: 400, title: 'The request is malformed'},
  'unknown-service': {status: 404, title: 'No such service'},
  'too-large': {status: 413, title: 'The body is too large'},
  overloaded: {status: 503, title: 'Overloaded', retryAfterMs: 1000},
  deadline: {status: 504, title: 'The deadline has passed'},
  cancelled: {status: 499, title: 'The caller gave up'},
  'no-leader': {status: 503, title: 'No leader', retryAfterMs: 1000},
  'no-owner': {status: 503, title: 'No owner', retryAfterMs: 1000},
  moved: {status: 503, title: 'The key has moved', retryAfterMs: 200},
  fenced: {status: 503, title: 'Ownership changed', retryAfterMs: 200},
  refused: {status: 503, title: 'Refused by the server', retryAfterMs: 1000},
  quarantined: {
    status: 503,
    title: 'Servers ended under it',
    retryAfterMs: 60_000,
  },
  unreachable: {status: 503, title: 'No way to a server', retryAfterMs: 200},
  evacuated: {
    status: 503,
    title: 'All data centres with servers are evacuated',
    retryAfterMs: 1000,
  },
  'connection-lost': {status: 502, title: 'The connection was lost'},
  truncated: {status: 502, title: 'The answer was cut short'},
  stopping: {status: 503, title: 'Stopping', retryAfterMs: 1000},
  internal: {status: 500, title: 'Internal error'},
};

/**
 * Converts a failure to the problem details that the caller gets.
 *
 * @example
 * ```ts
 * toProblem(failure('not-run', 'overloaded', 'queue is full', 200), id);
 * ```
 */
export function toProblem(failure: Failure, requestId: string): Problem {
  const {status, title} = PROBLEM_KINDS[failure.code];
  const {verdict, code, detail} = failure;
  const type = `urn:banyandrum:problem:${code}`;
  const problem = {type, title, status, detail, verdict, code, requestId};
  const retryAfterMs = retryAfterOf(failure);
  if (retryAfterMs === null) return problem;
  return {...problem, retryAfterMs};
}

/** Header names and values of a problem, in turn, without the length. */
export function problemHeaders(problem: Problem): string[] {
  const headers = [
    'content-type',
    'application/problem+json',
    'cache-control',
    'no-store',
    'banyandrum-request-id',
    problem.requestId,
    'banyandrum-verdict',
    problem.verdict,
    'banyandrum-code',
    problem.code,
  ];
  const {retryAfterMs} = problem;
  if (retryAfterMs === undefined) return headers;
  headers.push('retry-after', String(Math.ceil(retryAfterMs / 1000)));
  headers.push('banyandrum-retry-after-ms', String(retryAfterMs));
  return headers;
}

/**
 * Sends a problem as the response; nothing may have been sent before.
 *
 * @example
 * ```ts
 * sendProblem(res, toProblem(failure, id), ['connection', 'close']);
 * ```
 */
export function sendProblem(
  res: ServerResponse,
  problem: Problem,
  extra: readonly string[],
): void {
  const body = Buffer.from(JSON.stringify(problem));
  const headers = problemHeaders(problem);
  headers.push('content-length', String(body.length), ...extra);
  res.writeHead(problem.status, headers);
  res.write(body);
}

function retryAfterOf(failure: Failure): number | null {
  if (failure.retryAfterMs !== undefined) {
    return Math.max(0, Math.ceil(failure.retryAfterMs));
  }
  // Retry-After for a request that may have run would invite a second run.
  if (failure.verdict !== 'not-run') return null;
  return PROBLEM_KINDS[failure.code].retryAfterMs ?? null;
}
