import http from 'node:http';
import type {Socket} from 'node:net';
import {failure} from '@banyandrum/base/failure.js';
import type {Clock} from '@banyandrum/base/clock.js';
import {createId} from '@banyandrum/base/ids.js';
import {lingerOnSocket} from './linger.js';
import {problemHeaders, toProblem} from './problem.js';

/** Bounds on what one caller's connection may hold on to. */
export interface ServerLimits {
  /** Time for the headers of a request, in ms. */
  readonly headersTimeoutMs: number;
  /** Time for a whole request with its body, in ms. */
  readonly requestTimeoutMs: number;
  /** How long an idle connection is kept, in ms. */
  readonly keepAliveMs: number;
  /** How long a connection may be silent during a request, in ms. */
  readonly silenceMs: number;
  /** How long a caller may take nothing of its answer, in ms. */
  readonly stallMs: number;
  readonly maxHeaderBytes: number;
  readonly maxConnections: number;
}

export const DEFAULT_LIMITS: ServerLimits = {
  headersTimeoutMs: 10_000,
  requestTimeoutMs: 60_000,
  keepAliveMs: 65_000,
  silenceMs: 300_000,
  stallMs: 30_000,
  maxHeaderBytes: 16 * 1024,
  maxConnections: 10_000,
};

/** Takes one request; `expectsContinue` where it waits before its body. */
export type ServerHandler = (
  req: http.IncomingMessage,
  res: http.ServerResponse,
  expectsContinue: boolean,
) => void;

const CHECK_INTERVAL_MS = 1000;
const STATUS_OF_CODE: Readonly<Record<string, number>> = {
  HPE_HEADER_OVERFLOW: 431,
  ERR_HTTP_REQUEST_TIMEOUT: 408,
};

/**
 * Creates an HTTP server with strict parsing and timeouts for slow callers. It
 * isn't listening yet.
 *
 * @example
 * ```ts
 * const server = createHttpServer(DEFAULT_LIMITS, clock, handler);
 * server.listen(8080, '127.0.0.1');
 * ```
 */
export function createHttpServer(
  limits: ServerLimits,
  clock: Clock,
  handler: ServerHandler,
): http.Server {
  const server = http.createServer({
    insecureHTTPParser: false,
    // The handler checks it and responds with problem details.
    requireHostHeader: false,
    maxHeaderSize: limits.maxHeaderBytes,
    headersTimeout: limits.headersTimeoutMs,
    requestTimeout: limits.requestTimeoutMs,
    keepAliveTimeout: limits.keepAliveMs,
    connectionsCheckingInterval: CHECK_INTERVAL_MS,
    noDelay: true,
  });
  server.maxConnections = limits.maxConnections;
  server.timeout = limits.silenceMs;
  server.on('request', (req, res) => handler(req, res, false));
  server.on('checkContinue', (req, res) => handler(req, res, true));
  server.on('checkExpectation', (req, res) => handler(req, res, false));
  server.on('clientError', (err, socket) => {
    refuseMalformed(clock, err, socket as Socket);
  });
  return server;
}

function refuseMalformed(
  clock: Clock,
  err: NodeJS.ErrnoException,
  socket: Socket,
): void {
  // Nothing is written while another response is due on this connection: the
  // caller would take this one for the response to an earlier, pipelined request
  // and believe that it wasn't run.
  if (!socket.writable || hasAnswerDue(socket)) {
    socket.destroy(err);
    return;
  }
  socket.end(formatRefusal(err));
  lingerOnSocket(socket, clock);
}

/** Node keeps the answer that a connection is busy with in this field. */
function hasAnswerDue(socket: Socket): boolean {
  const {_httpMessage: due} = socket as {_httpMessage?: unknown} & Socket;
  return due !== null && due !== undefined;
}

function formatRefusal(err: NodeJS.ErrnoException): string {
  const status = STATUS_OF_CODE[err.code ?? ''] ?? 400;
  const detail = `the request is no valid HTTP: ${err.code ?? 'unknown'}`;
  const failed = failure('not-run', 'bad-request', detail);
  const problem = {...toProblem(failed, createId()), status};
  const body = JSON.stringify(problem);
  const lines = [`HTTP/1.1 ${status} ${http.STATUS_CODES[status] ?? ''}`];
  const headers = problemHeaders(problem);
  headers.push('content-length', String(Buffer.byteLength(body)));
  headers.push('connection', 'close');
  for (let i = 0; i + 1 < headers.length; i += 2) {
    lines.push(`${headers[i]}: ${headers[i + 1]}`);
  }
  return `${lines.join('\r\n')}\r\n\r\n${body}`;
}
