import type {IncomingMessage, ServerResponse} from 'node:http';
import type {ApiError} from './problem.js';
import {toProblem} from './problem.js';

/** A request as moleculer-web hands it to a route. */
export interface ApiExchange {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
}

export function replyJson(
  exchange: ApiExchange,
  status: number,
  body: unknown,
): void {
  reply(exchange, status, 'application/json', JSON.stringify(body));
}

export function replyProblem(exchange: ApiExchange, error: ApiError): void {
  const problem = toProblem(error);
  if (error.kind === 'unauthorised') {
    exchange.res.setHeader('www-authenticate', 'Bearer realm="banyandrum"');
  }
  const body = JSON.stringify(problem);
  reply(exchange, problem.status, 'application/problem+json', body);
}

/** Answers with a text, once; whatever is left of the request is dropped. */
export function reply(
  {req, res}: ApiExchange,
  status: number,
  contentType: string,
  text: string,
): void {
  if (res.headersSent || res.destroyed) return;
  const body = Buffer.from(text);
  res.writeHead(status, {
    'content-type': contentType,
    'content-length': body.length,
    'cache-control': 'no-store',
  });
  res.end(body);
  // Without this a body that nobody read would block the connection.
  req.resume();
}
