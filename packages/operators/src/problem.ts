import type {OperatorError} from './actions.js';
import type {ProblemKind, ProblemMessage} from './messages.js';

/** A failure of a request, of the interface itself or of its actions. */
export interface ApiError extends Omit<OperatorError, 'kind'> {
  readonly kind: ProblemKind;
}

interface KindOfProblem {
  readonly status: number;
  readonly title: string;
}

const KINDS: Readonly<Record<ProblemKind, KindOfProblem>> = {
  invalid: {status: 422, title: 'The content is not valid'},
  conflict: {status: 409, title: 'Another version is in force'},
  unknown: {status: 202, title: 'The outcome is not known yet'},
  'not-found': {status: 404, title: 'Not found'},
  unavailable: {status: 503, title: 'Not available now'},
  forbidden: {status: 403, title: 'The role does not allow it'},
  unauthorised: {status: 401, title: 'No valid token'},
  'bad-request': {status: 400, title: 'The request is malformed'},
  'too-large': {status: 413, title: 'The body is too large'},
  internal: {status: 500, title: 'Internal error'},
};

/**
 * The problem that an operator is told of an error.
 *
 * @example
 * ```ts
 * toProblem({kind: 'conflict', detail: '17 is in force', inForce: 17});
 * ```
 */
export function toProblem(error: ApiError): ProblemMessage {
  const {kind, detail, problems, inForce} = error;
  return {
    type: `urn:banyandrum:operators:${kind}`,
    ...KINDS[kind],
    detail,
    kind,
    ...(problems === undefined ? {} : {problems}),
    ...(inForce === undefined ? {} : {inForce}),
  };
}
