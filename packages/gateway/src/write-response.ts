import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Failure} from '@banyandrum/base/failure.js';
import {HOP_BY_HOP} from '@banyandrum/base/hop-by-hop.js';
import type {Reply} from '@banyandrum/dispatch/journey.js';
import {headerValue} from './caller-headers.js';

/** What is written to the caller. */
export type FrontendResponse =
  | Reply
  /** Refused by its form; it can't succeed when repeated. */
  | {
      readonly kind: 'rejected';
      readonly status: number;
      readonly detail: string;
    };

/** What writing an answer needs to know. */
export interface ResponseConfig {
  /** Name of the header field that repeats the request's id. */
  readonly requestId: string;
  /**
   * Whether it is its connection's last: while the process stops, and where
   * the rest of the request was not read, which would be taken for the next.
   */
  readonly isLast: boolean;
}

const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** Writes the answer to the caller. */
export function sendResponse(
  cfg: ResponseConfig,
  req: IncomingMessage,
  res: ServerResponse,
  response: FrontendResponse,
): void {
  const write = WRITERS[response.kind] as ResponseWriter<FrontendResponse['kind']>;
  write(cfg, req, res, response as never);
}

/** The status that tells a failure. */
export function statusOfFailure({verdict, code}: Failure): number {
  if (verdict === 'not-run') return 503;
  return code === 'deadline' ? 504 : 502;
}

type ResponseOf<K extends FrontendResponse['kind']> = Extract<FrontendResponse, {kind: K}>;

type ResponseWriter<K extends FrontendResponse['kind']> = (
  cfg: ResponseConfig,
  req: IncomingMessage,
  res: ServerResponse,
  answered: ResponseOf<K>,
) => void;

const WRITERS: {readonly [K in FrontendResponse['kind']]: ResponseWriter<K>} = {
  answer(cfg, req, res, answered) {
    const {status, headers, body} = answered.answer;
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
    res.end(isBodiless ? undefined : body);
  },
  rejected(cfg, req, res, answered) {
    const {status, detail} = answered;
    sendProblem(cfg, req, res, status, {code: 'bad-request', detail}, null);
  },
  failure(cfg, req, res, answered) {
    const {failure: reason} = answered;
    const {code, verdict, detail} = reason;
    const after = reason.retryAfterMs ?? null;
    const told = {code, verdict, detail};
    sendProblem(cfg, req, res, statusOfFailure(reason), told, after);
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
  const body = JSON.stringify({status, ...problem});
  const headers = ['Content-Type', 'application/problem+json'];
  const id = headerValue(req, cfg.requestId);
  if (id !== undefined) headers.push(cfg.requestId, id);
  if (retryAfterMs !== null) {
    headers.push('Retry-After', (retryAfterMs / 1000).toFixed(3));
  }
  headers.push('Content-Length', String(Buffer.byteLength(body)));
  if (cfg.isLast) headers.push('Connection', 'close');
  res.writeHead(status, headers);
  res.end(body);
}
