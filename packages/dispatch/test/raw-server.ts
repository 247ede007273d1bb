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
  retryAfter: 'retry-after',
  key: 'x-key',
  serverId: 'x-server',
};

export interface RawServer {
  readonly origin: string;
  close(): Promise<void>;
}

/** A server that does with each request's socket what the test says. */
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

/** A path to a server that is cut at first. */
export interface CutPath {
  readonly origin: string;
  /** From now on bytes pass, those that waited first. */
  heal(): void;
  close(): void;
}

/**
 * Starts a cut path to the server at `port`. As on a real one, bytes that wait
 * are lost where their sender resets its connection, and only there.
 */
export async function startCutPath(port: number): Promise<CutPath> {
  const sockets = new Set<Socket>();
  const heals = new Set<() => void>();
  const server = createServer(near => {
    let waiting: Buffer[] = [];
    sockets.add(near);
    near.on('data', chunk => waiting.push(chunk));
    near.on('error', () => (waiting = []));
    heals.add(() => {
      const far = connect({host: '127.0.0.1', port});
      sockets.add(far);
      far.on('error', () => undefined);
      waiting.forEach(chunk => far.write(chunk));
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
  const connection = connections.acquire()!;
  const attempt = startAttempt(connection, NAMES, clock, {
    method: 'GET',
    path: '/',
    headers: [NAMES.requestId, 'r1'],
    body: null,
    requestId: 'r1',
    withinMs,
  });
  const end = await attempt.result;
  connections.release(connection, false);
  return end;
}
