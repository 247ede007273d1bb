import type {Socket} from 'node:net';
import {buildConnector, Client} from 'undici';
import {createAnswerLimits, type AnswerLimits} from './answer-limits.js';

/** State of a connection's socket: open, closed by the server or failed. */
export type SocketState = 'open' | 'ended' | 'broken';

/** A connection that serves one request at a time. */
export interface Connection {
  readonly client: Client;
  /** Null until the connection is established. */
  socket: Socket | null;
  /** Updated before the HTTP client handles the end of the socket. */
  socketState: SocketState;
  /** Monotonic time of the last complete answer, in ms. */
  lastAnswerAt: number;
  /**
   * Ids of the requests that the server refused on this connection. A second
   * copy of a refusal may arrive late, where the next answer is expected.
   */
  readonly refusedIds: Set<string>;
  /** Whether an answer on it had the id of its request. */
  returnsIds: boolean;
  /** Limits of the answers on this connection. */
  readonly answers: AnswerLimits;
  /**
   * Called with the number of bytes that the connection has received, before
   * the HTTP client reads the last of them. Chunk extensions are seen only here.
   */
  onReceived: ((bytes: number) => void) | null;
}

/** Connection pool of this router for one server. */
export interface ServerConnections {
  /**
   * Returns a connection for the request with this id; null if the limit is
   * reached. Idle connections whose last complete answer predates
   * `trustedSince` are closed. None on which the same request was refused is
   * returned, since its answer could not be told from a copy of that refusal.
   */
  acquire(requestId: string, trustedSince?: number): Connection | null;
  /** The same, but returns only an idle connection. */
  acquireIdle(requestId: string, trustedSince: number): Connection | null;
  /** Returns an idle connection that `isUsable` accepts, or null. */
  acquireWhere(
    isUsable: (connection: Connection) => boolean,
  ): Connection | null;
  /** Returns a new connection, which had no answer; null if too many are busy. */
  acquireNew(): Connection | null;
  /** Whether `acquire` would return a connection. */
  hasFree(): boolean;
  /** Returns a connection to the pool, or closes it unless `isReusable`. */
  release(connection: Connection, isReusable: boolean): void;
  /** Whether any connection had a complete answer since. */
  hasAnsweredSince(since: number): boolean;
  /** Closes idle connections whose last complete answer predates `since`. */
  closeIdleUnansweredSince(since: number): void;
  setLimit(limit: number): void;
  inUse(): number;
  /** Closes idle connections now and the others when they are released. */
  retire(): void;
}

/** A connection with more refused requests isn't used again. */
const MAX_REFUSED_IDS = 128;
/**
 * Connect timeout, in ms. Hosts in the same region answer within a few ms; a
 * host without power never answers.
 */
const CONNECT_TIMEOUT_MS = 400;
/** Idle connections are closed this long before the server's timeout, in ms. */
const KEEP_ALIVE_MARGIN_MS = 1_500;
/** Idle timeout of servers that don't announce one, in ms. */
const KEEP_ALIVE_MS = 4_000;
/** Upper bound for idle timeouts that servers announce, in ms. */
const MAX_KEEP_ALIVE_MS = 60_000;

/**
 * Creates the connection pool for the server at `origin`.
 *
 * @example
 * ```ts
 * const connections = createServerConnections('http://10.0.0.7:80', 9);
 * const connection = connections.acquire(requestId);
 * ```
 */
export function createServerConnections(
  origin: string,
  limit: number,
  answers: AnswerLimits = createAnswerLimits(),
): ServerConnections {
  let maxOpen = limit;
  let isRetired = false;
  const busy = new Set<Connection>();
  let idle: Connection[] = [];

  const closeIdleUnansweredSince = (since: number): void => {
    const kept = idle.filter(({lastAnswerAt}) => lastAnswerAt >= since);
    idle.filter(each => !kept.includes(each)).forEach(closeConnection);
    idle = kept;
  };

  const acquireIdle = (
    requestId: string,
    trustedSince: number,
  ): Connection | null => {
    if (trustedSince > -Infinity) closeIdleUnansweredSince(trustedSince);
    return acquireWhere(({refusedIds}) => !refusedIds.has(requestId));
  };

  const acquireWhere = (
    isUsable: (connection: Connection) => boolean,
  ): Connection | null => {
    const at = idle.findLastIndex(isUsable);
    if (at < 0) return null;
    const [connection] = idle.splice(at, 1);
    busy.add(connection!);
    return connection!;
  };

  /** Closes idle connections that the request must not use, for a new one. */
  const makeRoom = (): void => {
    while (idle.length > 0 && busy.size + idle.length >= maxOpen)
      closeConnection(idle.shift()!);
  };

  const acquireNew = (): Connection | null => {
    if (busy.size >= maxOpen) return null;
    makeRoom();
    const connection = openConnection(origin, answers);
    busy.add(connection);
    return connection;
  };

  return {
    acquire: (requestId, trustedSince = -Infinity) =>
      acquireIdle(requestId, trustedSince) ?? acquireNew(),
    acquireIdle,
    acquireWhere,
    acquireNew,
    release(connection, isReusable) {
      busy.delete(connection);
      const isUsable = connection.refusedIds.size <= MAX_REFUSED_IDS;
      if (isReusable && isUsable && !isRetired) idle.push(connection);
      else closeConnection(connection);
    },
    closeIdleUnansweredSince,
    hasAnsweredSince: since =>
      [...busy, ...idle].some(({lastAnswerAt}) => lastAnswerAt >= since),
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
 * Resets the connection, which discards unsent data. After a normal close, data
 * held up by a network partition would still be delivered once the partition
 * heals. The server would then obey an outdated lease call, and two servers
 * would own the same key.
 */
export function resetConnection({socket}: Connection): void {
  socket?.resetAndDestroy();
}

function openConnection(origin: string, answers: AnswerLimits): Connection {
  const connect = buildConnector({timeout: CONNECT_TIMEOUT_MS, noDelay: true});
  const client = new Client(origin, {
    pipelining: 1,
    keepAliveTimeout: KEEP_ALIVE_MS,
    keepAliveMaxTimeout: MAX_KEEP_ALIVE_MS,
    keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
    // Each attempt has its own timeout.
    headersTimeout: 0,
    bodyTimeout: 0,
    connect(opts, callback) {
      connect(opts, (err, socket) => {
        if (err !== null) return callback(err, null);
        connection.socket = socket;
        connection.socketState = 'open';
        // undici treats a body without a length as complete however the
        // connection ends, even by a reset, and likewise a chunked body with
        // `connection: close`. Callers would get truncated answers as complete
        // ones, so these listeners, called first, record how it ended.
        socket.on('readable', () => connection.onReceived?.(socket.bytesRead));
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
    refusedIds: new Set(),
    returnsIds: false,
    answers,
    onReceived: null,
  };
  return connection;
}

function closeConnection({client}: Connection): void {
  client.destroy().catch(() => undefined);
}
