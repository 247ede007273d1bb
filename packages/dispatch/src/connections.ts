import type {Socket} from 'node:net';
import {buildConnector, Client} from 'undici';

/** How the far end left a connection, as far as its socket shows. */
export type SocketState = 'open' | 'ended' | 'broken';

/** A connection that serves one request at a time. */
export interface Connection {
  readonly client: Client;
  /** Null until it stands. */
  socket: Socket | null;
  /** Set before the HTTP client sees the end itself. */
  socketState: SocketState;
  /** Monotonic time of the last whole answer, in ms. */
  lastAnswerAt: number;
}

/** The connections of this router to one server. */
export interface ServerConnections {
  /** A connection for one request, or null at the limit. */
  acquire(): Connection | null;
  /** Whether there is one for a request now. */
  hasFree(): boolean;
  /** Gives a connection back; `isSound` lets it serve again. */
  release(connection: Connection, isSound: boolean): void;
  /** Closes unused connections without an answer since `since`. */
  closeIdleUnansweredSince(since: number): void;
  setLimit(limit: number): void;
  inUse(): number;
  /** Closes unused connections now and the others after use. */
  retire(): void;
}

/**
 * A connection that isn't open by then counts as refused, in ms. Hosts of one
 * region answer within some ms; a host without power never does.
 */
const CONNECT_TIMEOUT_MS = 400;
/** Kept connections close this long before the server would, in ms. */
const KEEP_ALIVE_MARGIN_MS = 1_500;
/** Servers that name no idle time keep a connection this long at least, ms. */
const KEEP_ALIVE_MS = 4_000;
const MAX_KEEP_ALIVE_MS = 60_000;

/**
 * Makes the connections to the server at `origin`.
 *
 * @example
 * ```ts
 * const connections = createServerConnections('http://10.0.0.7:80', 9);
 * const connection = connections.acquire();
 * ```
 */
export function createServerConnections(
  origin: string,
  limit: number,
): ServerConnections {
  let maxOpen = limit;
  let isRetired = false;
  const busy = new Set<Connection>();
  let idle: Connection[] = [];

  return {
    acquire() {
      const idleConnection = idle.pop();
      if (idleConnection === undefined && busy.size >= maxOpen) return null;
      const connection = idleConnection ?? openConnection(origin);
      busy.add(connection);
      return connection;
    },
    release(connection, isSound) {
      busy.delete(connection);
      if (isSound && !isRetired) idle.push(connection);
      else closeConnection(connection);
    },
    closeIdleUnansweredSince(since) {
      const kept = idle.filter(({lastAnswerAt}) => lastAnswerAt >= since);
      idle.filter(each => !kept.includes(each)).forEach(closeConnection);
      idle = kept;
    },
    setLimit(next) {
      maxOpen = next;
    },
    hasFree: () => idle.length > 0 || busy.size < maxOpen,
    inUse: () => busy.size,
    retire() {
      isRetired = true;
      idle.forEach(closeConnection);
      idle = [];
    },
  };
}

/**
 * Gives up what was written on the connection. Bytes that a cut holds up would
 * arrive once it heals, after a plain close too: an order of long ago would be
 * obeyed, and two servers hold a key. After a reset they are lost.
 */
export function resetConnection({socket}: Connection): void {
  socket?.resetAndDestroy();
}

function openConnection(origin: string): Connection {
  const connect = buildConnector({timeout: CONNECT_TIMEOUT_MS, noDelay: true});
  const client = new Client(origin, {
    pipelining: 1,
    keepAliveTimeout: KEEP_ALIVE_MS,
    keepAliveMaxTimeout: MAX_KEEP_ALIVE_MS,
    keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
    // The request's own deadline ends an exchange.
    headersTimeout: 0,
    bodyTimeout: 0,
    connect(opts, callback) {
      connect(opts, (err, socket) => {
        if (err !== null) return callback(err, null);
        connection.socket = socket;
        connection.socketState = 'open';
        // The HTTP client takes a body without a length as whole at any end
        // of its connection, a reset included, and a chunked one of a closing
        // connection too: callers would get cut answers as whole ones. These
        // listeners come first and keep what really happened.
        socket.once('end', () => (connection.socketState = 'ended'));
        socket.once('error', () => (connection.socketState = 'broken'));
        callback(null, socket);
      });
    },
  });
  const connection: Connection = {
    client,
    socket: null,
    socketState: 'open',
    lastAnswerAt: -Infinity,
  };
  return connection;
}

function closeConnection({client}: Connection): void {
  client.destroy().catch(() => undefined);
}
