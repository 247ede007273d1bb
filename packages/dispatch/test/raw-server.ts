import {
  connect,
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';
import type {Clock} from '@banyandrum/base/clock.js';
import {createClock} from '@banyandrum/base/clock.js';
import {
  startAttempt,
  type AttemptResult,
} from '@banyandrum/dispatch/attempt.js';
import {createServerConnections} from '@banyandrum/dispatch/connections.js';
import type {WireNames} from '@banyandrum/dispatch/wire.js';

export const NAMES: WireNames = {
  requestId: 'x-request',
  deadlineMs: 'x-deadline',
  expectedServer: 'x-expect',
  signature: 'x-signature',
  notRun: 'x-not-run',
  load: 'x-load',
  limit: 'x-limit',
  leaving: 'x-leaving',
  coldMs: 'x-cold-ms',
  retryAfter: 'retry-after',
  key: 'x-key',
  serverId: 'x-server',
};

export interface RawServer {
  readonly origin: string;
  close(): Promise<void>;
}

/** Starts a server that passes each request's socket and bytes to the test. */
export async function listenRaw(
  onRequest: (socket: Socket, head: string) => void,
): Promise<RawServer> {
  const sockets = new Set<Socket>();
  const server: Server = createServer(socket => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
    socket.on('data', data => onRequest(socket, data.toString('latin1')));
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  return {
    origin: `http://127.0.0.1:${port}`,
    close: () =>
      new Promise(resolve => {
        sockets.forEach(socket => socket.destroy());
        server.close(() => resolve());
      }),
  };
}

/** A proxy that simulates a network partition in front of a server. */
export interface CutPath {
  readonly origin: string;
  /** Ends the partition: forwards the held-up bytes to the server. */
  heal(): void;
  close(): void;
}

/**
 * Starts a proxy for the server at `port` that is partitioned at first. As in a
 * real partition, held-up bytes are lost only if the sender resets its
 * connection.
 */
export async function startCutPath(port: number): Promise<CutPath> {
  const sockets = new Set<Socket>();
  const heals = new Set<() => void>();
  const server = createServer(clientSide => {
    let waiting: Buffer[] = [];
    sockets.add(clientSide);
    clientSide.on('data', chunk => waiting.push(chunk));
    clientSide.on('error', () => (waiting = []));
    heals.add(() => {
      const serverSide = connect({host: '127.0.0.1', port});
      sockets.add(serverSide);
      serverSide.on('error', () => undefined);
      waiting.forEach(chunk => serverSide.write(chunk));
    });
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port: own} = server.address() as AddressInfo;
  return {
    origin: `http://127.0.0.1:${own}`,
    heal: () => heals.forEach(heal => heal()),
    close() {
      server.close();
      sockets.forEach(socket => socket.destroy());
    },
  };
}

/** Sends one request on a new connection to `origin`. */
export async function sendOnce(
  origin: string,
  withinMs = 2_000,
  clock: Clock = createClock(),
): Promise<AttemptResult> {
  const connections = createServerConnections(origin, 1);
  const connection = connections.acquire('r1')!;
  const attempt = startAttempt(connection, NAMES, clock, {
    method: 'GET',
    path: '/',
    headers: [NAMES.requestId, 'r1'],
    body: null,
    requestId: 'r1',
    withinMs,
  });
  const result = await attempt.result;
  connections.release(connection, false);
  return result;
}
