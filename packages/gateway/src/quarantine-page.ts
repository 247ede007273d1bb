import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  createAuthenticate,
  hasRole,
  type OperatorToken,
  type Role,
} from '@banyandrum/base/access.js';
import type {Suspects} from '@banyandrum/dispatch/suspects.js';
import {readBody} from './read-body.js';

/** Answers a request of an operator's; false where it isn't one. */
export type ServePage = (req: IncomingMessage, res: ServerResponse) => boolean;

/** An operator's answer: a status and what is told. */
interface Answer {
  readonly status: number;
  readonly body: object;
}

interface Handler {
  /** What a token must allow. */
  readonly role: Role;
  answer(operator: string, req: IncomingMessage): Promise<Answer>;
}

const MAX_BODY_BYTES = 4_096;
const MAX_REASON = 500;

/**
 * Shows operators which requests are suspected or quarantined, and lets them
 * clear one: `GET /quarantine`, and `POST /quarantine/clear` with `content` and
 * `reason` in JSON. Both need a token of the settings; clearing one of a
 * publisher.
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
): ServePage {
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
    if (operator === null) return problem(401, 'a token is needed');
    if (!hasRole(operator, handler.role)) {
      return problem(403, `a ${handler.role}'s token is needed`);
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
  const body = await readBody(req, MAX_BODY_BYTES);
  if (body.kind !== 'read') return problem(413, 'the body is too large');
  const asked = parse(body.bytes);
  if (asked === null) return problem(400, 'content and reason are needed');
  const isCleared = suspects.clear(asked.content, operator, asked.reason);
  if (!isCleared) return problem(404, 'no such request is quarantined');
  return {status: 200, body: {cleared: asked.content}};
}

interface Asked {
  readonly content: string;
  readonly reason: string;
}

function parse(bytes: Buffer | null): Asked | null {
  try {
    const {content, reason} = JSON.parse(String(bytes)) as Partial<Asked>;
    if (typeof content !== 'string' || typeof reason !== 'string') return null;
    const isReason = reason.trim() !== '' && reason.length <= MAX_REASON;
    return isReason ? {content, reason} : null;
  } catch {
    return null;
  }
}

function problem(status: number, detail: string): Answer {
  return {status, body: {status, detail}};
}
