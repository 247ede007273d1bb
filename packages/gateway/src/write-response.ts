import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Failure} from '@banyandrum/base/failure.js';
import {HOP_BY_HOP} from '@banyandrum/base/hop-by-hop.js';
import type {Reply} from '@banyandrum/dispatch/forward-state.js';
import {headerValue} from './caller-headers.js';
import {endResponse, type UnreadAnswers} from './unread-answers.js';

/** The response to a caller: a reply of the dispatcher, or a rejection. */
export type FrontendResponse =
  | Reply
  /** The request is invalid; retrying it can't succeed. */
  | {
      readonly kind: 'rejected';
      readonly status: number;
      readonly detail: string;
    };

/** Options for writing a response. */
export interface ResponseConfig {
  /** Name of the header field that carries the request's id. */
  readonly requestId: string;
  /**
   * Whether to close the connection after this response: while the process
   * stops, and if the request was not fully read, since the parser would take
   * the rest of its body for the next request.
   */
  readonly isLast: boolean;
  readonly unread: UnreadAnswers;
}

const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** Writes the response to the caller. */
export function sendResponse(
  cfg: ResponseConfig,
  req: IncomingMessage,
  res: ServerResponse,
  response: FrontendResponse,
): void {
  const write = WRITERS[response.kind] as ResponseWriter<
    FrontendResponse['kind']
  >;
  write(cfg, req, res, response as never);
}

/** The HTTP status for a failure. */
export function statusOfFailure({verdict, code}: Failure): number {
  if (verdict === 'not-run') return 503;
  return code === 'deadline' ? 504 : 502;
}

type ResponseOf<K extends FrontendResponse['kind']> = Extract<
  FrontendResponse,
  {kind: K}
>;

type ResponseWriter<K extends FrontendResponse['kind']> = (
  cfg: ResponseConfig,
  req: IncomingMessage,
  res: ServerResponse,
  response: ResponseOf<K>,
) => void;

const WRITERS: {readonly [K in FrontendResponse['kind']]: ResponseWriter<K>} = {
  answer(cfg, req, res, response) {
    const {status, headers, body} = response.answer;
    const isBodiless = req.method === 'HEAD' || BODILESS_STATUSES.has(status);
    const out: string[] = [];
    for (let at = 0; at + 1 < headers.length; at += 2) {
      const name = headers[at]!.toLowerCase();
      if (HOP_BY_HOP.has(name)) continue;
      if (name === 'content-length' && !isBodiless) continue;
      out.push(headers[at]!, headers[at + 1]!);
    }
    if (!isBodiless) out.push('Content-Length', String(body.length));
    if (cfg.isLast) out.push('Connection', 'close');
    res.writeHead(status, out);
    const content = isBodiless ? undefined : body;
    endResponse(cfg.unread, req.socket, res, content);
  },
  rejected(cfg, req, res, response) {
    const {status, detail} = response;
    sendProblem(cfg, req, res, status, {code: 'bad-request', detail}, null);
  },
  failure(cfg, req, res, response) {
    const {failure} = response;
    const {code, verdict, detail} = failure;
    const retryAfterMs = failure.retryAfterMs ?? null;
    const problem = {code, verdict, detail};
    sendProblem(cfg, req, res, statusOfFailure(failure), problem, retryAfterMs);
  },
};

function sendProblem(
  cfg: ResponseConfig,
  req: IncomingMessage,
  res: ServerResponse,
  status: number,
  problem: Readonly<Record<string, string>>,
  retryAfterMs: number | null,
): void {
  const body = Buffer.from(JSON.stringify({status, ...problem}));
  const headers = ['Content-Type', 'application/problem+json'];
  const id = headerValue(req, cfg.requestId);
  if (id !== undefined) headers.push(cfg.requestId, id);
  if (retryAfterMs !== null) {
    headers.push('Retry-After', (retryAfterMs / 1000).toFixed(3));
  }
  headers.push('Content-Length', String(body.length));
  if (cfg.isLast) headers.push('Connection', 'close');
  res.writeHead(status, headers);
  endResponse(cfg.unread, req.socket, res, body);
}
