import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';

/**
 * How a listener misbehaves as a whole.
 *
 * - `refuse`: nobody listens.
 * - `hang`: takes requests and never answers.
 * - `reset`: resets each connection on which a request arrives.
 * - `silent`: connections that were open when the mode began stay open and
 *   silent for good; new ones work.
 */
export const DOWN_MODES = [
  'none',
  'refuse',
  'hang',
  'reset',
  'silent',
] as const;
export type DownMode = (typeof DOWN_MODES)[number];

/**
 * What a stand-in does with a request in the end.
 *
 * - `json`: answers whole.
 * - `text`: answers with a body that need not be JSON.
 * - `cut`: announces the whole body, sends half of it and resets.
 * - `reset`: resets the connection without an answer.
 * - `hang`: keeps the connection and never answers.
 */
export type StandinReply =
  | {readonly kind: 'json'; readonly status: number; readonly value: unknown}
  | {readonly kind: 'text'; readonly status: number; readonly text: string}
  | {readonly kind: 'cut'; readonly status: number; readonly text: string}
  | {readonly kind: 'reset'}
  | {readonly kind: 'hang'};

/** A request with its whole body. */
export interface StandinRequest {
  readonly method: string;
  readonly url: URL;
  readonly body: Uint8Array;
}

export type StandinHandler = (req: StandinRequest) => Promise<StandinReply>;

/** An HTTP listener on loopback that can be taken down and brought back. */
export interface FaultyListener {
  /** `127.0.0.1:port`; the port stays the same while it refuses. */
  readonly address: string;
  setDown(mode: DownMode): Promise<void>;
  close(): Promise<void>;
}

const LOOPBACK = '127.0.0.1';
const RELISTEN_PAUSE_MS = 50;

/**
 * Opens a listener on a free port of 127.0.0.1.
 *
 * @example
 * ```ts
 * const listener = await createFaultyListener(async () => jsonReply(200, {}));
 * await listener.setDown('hang');
 * ```
 */
export async function createFaultyListener(
  handler: StandinHandler,
): Promise<FaultyListener> {
  const sockets = new Set<Socket>();
  const silent = new WeakSet<Socket>();
  let down: DownMode = 'none';

  const server = createServer((req, res) => {
    void answer(req, res);
  });
  server.keepAliveTimeout = 0;
  server.on('connection', socket => {
    sockets.add(socket);
    socket.on('error', () => {});
    socket.on('close', () => sockets.delete(socket));
  });

  const isMute = (socket: Socket): boolean =>
    silent.has(socket) || (down !== 'none' && down !== 'silent');

  const answer = async (
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> => {
    const {socket} = req;
    if (down === 'reset') socket.resetAndDestroy();
    const body = await readBody(req);
    if (body === null || isMute(socket)) return;
    const url = new URL(req.url ?? '/', `http://${LOOPBACK}`);
    const reply = await handler({method: req.method ?? 'GET', url, body});
    // The mode may have changed meanwhile: a listener that went down then
    // says nothing any more, as a machine that was cut off would.
    if (isMute(socket) || res.destroyed) return;
    send(res, reply);
  };

  await listen(server, 0);
  const {port} = server.address() as AddressInfo;

  const stopListening = async (): Promise<void> => {
    if (!server.listening) return;
    const closed = new Promise(resolve => server.close(resolve));
    resetEach(sockets);
    await closed;
  };

  return {
    address: `${LOOPBACK}:${port}`,
    async setDown(mode) {
      if (mode === down) return;
      down = mode;
      if (mode === 'refuse') return stopListening();
      SWITCHES[mode](sockets, silent);
      if (!server.listening) await listen(server, port);
    },
    async close() {
      await stopListening();
    },
  };
}

const resetEach = (sockets: ReadonlySet<Socket>): void => {
  for (const socket of sockets) socket.resetAndDestroy();
};

/** What happens to open connections when a mode begins. */
const SWITCHES: Readonly<
  Record<
    DownMode,
    (sockets: ReadonlySet<Socket>, silent: WeakSet<Socket>) => void
  >
> = {
  // What was asked while it hung stays without an answer.
  none: () => {},
  refuse: resetEach,
  hang: () => {},
  reset: resetEach,
  silent: (sockets, silent) => {
    for (const socket of sockets) silent.add(socket);
  },
};

/** A whole JSON answer. */
export function jsonReply(status: number, value: unknown): StandinReply {
  return {kind: 'json', status, value};
}

type Sender<K extends StandinReply['kind']> = (
  res: ServerResponse,
  reply: Extract<StandinReply, {kind: K}>,
) => void;

const SENDERS: {readonly [K in StandinReply['kind']]: Sender<K>} = {
  json: (res, reply) =>
    sendText(res, reply.status, JSON.stringify(reply.value)),
  text: (res, reply) => sendText(res, reply.status, reply.text),
  cut: (res, reply) => {
    const bytes = Buffer.from(reply.text);
    res.writeHead(reply.status, {'content-length': bytes.length});
    res.write(bytes.subarray(0, bytes.length / 2), () => res.socket?.destroy());
  },
  reset: res => {
    res.socket?.resetAndDestroy();
  },
  hang: () => {},
};

function send(res: ServerResponse, reply: StandinReply): void {
  const sender = SENDERS[reply.kind] as Sender<StandinReply['kind']>;
  sender(res, reply);
}

function sendText(res: ServerResponse, status: number, text: string): void {
  const bytes = Buffer.from(text);
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': bytes.length,
  });
  res.end(bytes);
}

/** The whole body, or null where the client went away before its end. */
async function readBody(req: IncomingMessage): Promise<Uint8Array | null> {
  const chunks: Uint8Array[] = [];
  try {
    for await (const chunk of req) chunks.push(chunk as Uint8Array);
  } catch {
    return null;
  }
  return req.complete ? Buffer.concat(chunks) : null;
}

async function listen(
  server: ReturnType<typeof createServer>,
  port: number,
): Promise<void> {
  for (;;) {
    const err = await tryListen(server, port);
    if (err === null) return;
    if (err.code !== 'EADDRINUSE' || port === 0) throw err;
    await new Promise(resolve => setTimeout(resolve, RELISTEN_PAUSE_MS));
  }
}

function tryListen(
  server: ReturnType<typeof createServer>,
  port: number,
): Promise<NodeJS.ErrnoException | null> {
  return new Promise(resolve => {
    const onError = (err: NodeJS.ErrnoException): void => {
      server.off('listening', onListening);
      resolve(err);
    };
    const onListening = (): void => {
      server.off('error', onError);
      resolve(null);
    };
    server.once('error', onError);
    server.once('listening', onListening);
    server.listen(port, LOOPBACK);
  });
}
