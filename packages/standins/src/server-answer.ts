import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {RETRY_AFTER_MS, VERDICT} from '@banyandrum/servers/headers.js';

/** The sockets that went silent: nothing is read from or written to them. */
export type SilentSockets = WeakSet<Socket>;

/** A request with its answer under way. */
export interface Exchange {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
}

/** Answers with a whole body, by default JSON. */
export function answer(
  {res}: Exchange,
  status: number,
  body: Uint8Array | string,
  headers: Readonly<Record<string, string>> = {},
): void {
  res.writeHead(status, {
    'content-type': 'application/json',
    ...headers,
    'content-length': Buffer.byteLength(body),
  });
  res.end(body);
}

/** Answers with a value as JSON. */
export function answerJson(
  exchange: Exchange,
  status: number,
  value: unknown,
): void {
  answer(exchange, status, JSON.stringify(value));
}

/** Refuses a request explicitly: it has not run. */
export function refuse(
  exchange: Exchange,
  status: number,
  detail: string,
  retryAfterMs?: number,
): void {
  answer(exchange, status, JSON.stringify({detail}), {
    [VERDICT]: 'not-run',
    ...(retryAfterMs === undefined
      ? {}
      : {[RETRY_AFTER_MS]: String(retryAfterMs)}),
  });
}

/** Announces the whole body, writes half of it, then drops the connection. */
export function answerHalf(
  {res}: Exchange,
  status: number,
  body: Uint8Array,
): void {
  res.writeHead(status, {'content-length': body.byteLength});
  res.write(body.subarray(0, Math.floor(body.byteLength / 2)), () => {
    res.destroy();
  });
}
