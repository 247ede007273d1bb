import type {Socket} from 'node:net';
import {buildConnector, Client} from 'undici';

/** How the far end left a connection, as far as its socket shows. */
export type SocketEnd = 'open' | 'ended' | 'broken';

/** A connection that serves one request at a time. */
export interface Connection {
  readonly client: Client;
  /** Null until it stands. */
  socket: Socket | null;
  /** Set before the HTTP client sees the end itself. */
  socketEnd: SocketEnd;
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
  dropUnproved(since: number): void;
  setLimit(limit: number): void;
  inUse(): number;
  /** Closes unused connections now and the others after use. */
  retire(): void;
}

/**
 * A connection that isn't open by then counts as refused, in ms. Hosts of one
 * region answer within some ms; a host without power never does.
 */
const CONNECT_MS = 400;
/** Kept connections close this long before the server would, in ms. */
const IDLE_MARGIN_MS = 1_500;
/** Servers that name no idle time keep a connection this long at least, ms. */
const IDLE_MS = 4_000;
const IDLE_MAX_MS = 60_000;

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
      const kept = idle.pop();
      if (kept === undefined && busy.size >= maxOpen) return null;
      const connection = kept ?? open(origin);
      busy.add(connection);
      return connection;
    },
    release(connection, isSound) {
      busy.delete(connection);
      if (isSound && !isRetired) idle.push(connection);
      else close(connection);
    },
    dropUnproved(since) {
      const proved = idle.filter(({lastAnswerAt}) => lastAnswerAt >= since);
      idle.filter(each => !proved.includes(each)).forEach(close);
      idle = proved;
    },
    setLimit(next) {
      maxOpen = next;
    },
    hasFree: () => idle.length > 0 || busy.size < maxOpen,
    inUse: () => busy.size,
    retire() {
      isRetired = true;
      idle.forEach(close);
      idle = [];
    },
  };
}

/**
 * Gives up what was written on the connection. Bytes that a cut holds up would
 * arrive once it heals, after a plain close too: an order of long ago would be
 * obeyed, and two servers hold a key. After a reset they are lost.
 */
export function reset({socket}: Connection): void {
  socket?.resetAndDestroy();
}

function open(origin: string): Connection {
  const connect = buildConnector({timeout: CONNECT_MS, noDelay: true});
  const client = new Client(origin, {
    pipelining: 1,
    keepAliveTimeout: IDLE_MS,
    keepAliveMaxTimeout: IDLE_MAX_MS,
    keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
    // The request's own deadline ends an exchange.
    headersTimeout: 0,
    bodyTimeout: 0,
    connect(opts, callback) {
      connect(opts, (err, socket) => {
        if (err !== null) return callback(err, null);
        connection.socket = socket;
        connection.socketEnd = 'open';
        // The HTTP client takes a body without a length as whole at any end
        // of its connection, a reset included, and a chunked one of a closing
        // connection too: callers would get cut answers as whole ones. These
        // listeners come first and keep what really happened.
        socket.once('end', () => (connection.socketEnd = 'ended'));
        socket.once('error', () => (connection.socketEnd = 'broken'));
        callback(null, socket);
      });
    },
  });
  const connection: Connection = {
    client,
    socket: null,
    socketEnd: 'open',
    lastAnswerAt: -Infinity,
  };
  return connection;
}

function close({client}: Connection): void {
  client.destroy().catch(() => undefined);
}
