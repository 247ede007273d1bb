import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  createAuthenticate,
  hasRole,
  type OperatorToken,
  type Role,
} from '@banyandrum/base/access.js';
import {createClock} from '@banyandrum/base/clock.js';
import type {Suspects} from '@banyandrum/dispatch/suspects.js';
import {createBodyMemory} from './body-memory.js';
import {readBody} from './read-body.js';

/** Handles an operator's request; returns false if the path isn't its own. */
export type PageHandler = (
  req: IncomingMessage,
  res: ServerResponse,
) => boolean;

/** The response to an operator: HTTP status and JSON body. */
interface Answer {
  readonly status: number;
  readonly body: object;
}

interface Handler {
  /** The role that the operator's token must have. */
  readonly role: Role;
  answer(operator: string, req: IncomingMessage): Promise<Answer>;
}

const MAX_BODY_BYTES = 4_096;
const BODY_TIMEOUT_MS = 10_000;
const MAX_REASON_LENGTH = 500;

/**
 * Creates the HTTP interface by which operators list suspected and quarantined
 * requests (`GET /quarantine`) and clear one (`POST /quarantine/clear` with
 * `content` and `reason` in JSON). Both need an operator token from the
 * settings; clearing needs the publisher role.
 *
 * @example
 * ```ts
 * const page = createQuarantinePage(suspects, tokens);
 * if (!page(req, res)) serveMetrics(res);
 * ```
 */
export function createQuarantinePage(
  suspects: Suspects,
  tokens: readonly OperatorToken[],
): PageHandler {
  const authenticate = createAuthenticate(tokens);
  const handlers: Readonly<Record<string, Handler>> = {
    'GET /quarantine': {
      role: 'viewer',
      answer: async () => ({status: 200, body: {requests: suspects.rows()}}),
    },
    'POST /quarantine/clear': {
      role: 'publisher',
      answer: (operator, req) => clear(suspects, operator, req),
    },
  };

  const serve = async (
    handler: Handler,
    req: IncomingMessage,
  ): Promise<Answer> => {
    const operator = authenticate(req.headers.authorization);
    if (operator === null)
      return problem(401, 'a valid operator token is required');
    if (!hasRole(operator, handler.role)) {
      return problem(403, `a token with the role ${handler.role} is required`);
    }
    return handler.answer(operator.name, req);
  };

  return (req, res) => {
    const name = `${req.method} ${req.url}`;
    if (!Object.hasOwn(handlers, name)) return false;
    void serve(handlers[name]!, req).then(({status, body}) => {
      res.writeHead(status, {'content-type': 'application/json'});
      res.end(JSON.stringify(body));
    });
    return true;
  };
}

async function clear(
  suspects: Suspects,
  operator: string,
  req: IncomingMessage,
): Promise<Answer> {
  const clock = createClock();
  const {result: body} = await readBody(req, {
    ...{clock, maxBytes: MAX_BODY_BYTES},
    memory: createBodyMemory(2 * MAX_BODY_BYTES, clock),
    deadline: clock.now() + BODY_TIMEOUT_MS,
  });
  if (body.kind !== 'read')
    return problem(413, 'the request body is too large');
  const request = parseClearRequest(body.bytes);
  if (request === null)
    return problem(
      400,
      'content and reason are required as non-empty JSON strings',
    );
  const isCleared = suspects.clear(request.content, operator, request.reason);
  if (!isCleared) return problem(404, 'no such request is quarantined');
  return {status: 200, body: {cleared: request.content}};
}

interface ClearRequest {
  readonly content: string;
  readonly reason: string;
}

function parseClearRequest(bytes: Buffer | null): ClearRequest | null {
  try {
    const {content, reason} = JSON.parse(
      String(bytes),
    ) as Partial<ClearRequest>;
    if (typeof content !== 'string' || typeof reason !== 'string') return null;
    const isReason = reason.trim() !== '' && reason.length <= MAX_REASON_LENGTH;
    return isReason ? {content, reason} : null;
  } catch {
    return null;
  }
}

function problem(status: number, detail: string): Answer {
  return {status, body: {status, detail}};
}
