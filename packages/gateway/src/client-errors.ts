import {STATUS_CODES, type Server} from 'node:http';
import type {Duplex} from 'node:stream';
import type {RequestPipelines} from './request-pipelines.js';
import {closeGracefully} from './socket-duplex.js';

/** Statuses for errors of the HTTP parser; 400 for all others. */
const STATUSES: Readonly<Record<string, number>> = {
  ERR_HTTP_REQUEST_TIMEOUT: 408,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
  HPE_HEADER_OVERFLOW: 431,
};

/**
 * Answers what is no request, unless answers to earlier requests of the
 * connection are due. The HTTP server's own answer would stand in place of the
 * first of them, and 408 would tell its caller that it was not run.
 *
 * @example
 * ```ts
 * handleClientErrors(server, createRequestPipelines());
 * ```
 */
export function handleClientErrors(
  server: Server,
  pipelines: Pick<RequestPipelines, 'closeAfterAnswers'>,
): void {
  server.on('clientError', (err: NodeJS.ErrnoException, socket: Duplex) => {
    if (!socket.writable || err.code === 'ECONNRESET') {
      socket.destroy();
      return;
    }
    if (pipelines.closeAfterAnswers(socket)) return;
    const status = STATUSES[err.code ?? ''] ?? 400;
    const line = `HTTP/1.1 ${status} ${STATUS_CODES[status]}`;
    socket.write(`${line}\r\nConnection: close\r\n\r\n`);
    closeGracefully(socket);
  });
}
