import type {Server, Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import type {Clock} from '@banyandrum/base/clock.js';
import {createReceivedBytes} from './received-bytes.js';
import {createSocketDuplex, type SocketDuplex} from './socket-duplex.js';

/** Callers' connections, whose bytes are parsed at the pace of the answers. */
export interface PacedConnections {
  /** Returns the connection that the HTTP server gets in place of `socket`. */
  wrap(socket: Socket): SocketDuplex;
  /** Call when more bytes of the connection may be allowed to be parsed. */
  resume(connection: Duplex): void;
  /** When the bytes were received that were parsed last; monotonic, in ms. */
  receivedAt(connection: Duplex): number;
  /** Bytes that were received and not parsed, of all connections. */
  heldBytes(): number;
}

/** Dependencies of the paced connections. */
export interface PacedConnectionsConfig {
  readonly clock: Pick<Clock, 'now'>;
  /** Bytes that may be parsed in one turn of the event loop; 0 for none now. */
  allowance(connection: Duplex): number;
  /** Whether the connection's next bytes belong to a request that has begun. */
  isReceiving(connection: Duplex): boolean;
  /** Limit of the bytes that were received and not parsed, of all connections. */
  readonly maxHeldBytes: number;
}

interface Paced {
  readonly connection: SocketDuplex;
  /** Parses what is allowed. */
  parse(): void;
  receivedAt(): number;
  /** When bytes were parsed last; monotonic, in ms. */
  parsedAt(): number;
  /** Bytes that were received and not parsed. */
  heldBytes(): number;
  /** Time since bytes were parsed, in ms. */
  stalledMs(): number;
}

/** What the connections share. */
interface Pacing extends PacedConnectionsConfig {
  /** Counts bytes that a connection holds from now on, or no longer. */
  hold(paced: Paced, bytes: number): void;
  heldBytes(): number;
  /** Number of the turn of the event loop. */
  turn(): number;
  /** Whether bytes of requests that have begun must wait for the next turn. */
  isBodyTimeUsed(): boolean;
  /** Parses on in the next turn. */
  parseNextTurn(paced: Paced): void;
}

/**
 * Unparsed bytes of a connection from which on no more are read from it. Up to
 * this limit, a caller that leaves is noticed though its requests wait.
 */
const READ_AHEAD_BYTES = 16 * 1024;
/**
 * Bytes that are parsed before another look at the allowance: the parser makes a
 * request of as few as 26.
 */
const MAX_PARSED_BYTES = 4 * 1024;
/**
 * Time in a turn after which only new requests are parsed, in ms. Chunks of one
 * byte take a thousand times as long a byte as large ones, and callers with such
 * bodies would hold up all others.
 */
const BODY_TIME_PER_TURN_MS = 5;
/** A connection is not closed for its unparsed bytes within this time, in ms. */
const MIN_STALLED_MS = 500;

/**
 * Stands between the callers' sockets and the HTTP server, which parses all that
 * a read returns at once: a caller that sends thousands of short requests makes
 * it create them all before the first is answered, until no memory is left. Here
 * it gets a connection's bytes in small parts, as many a turn of the event loop
 * as the number of open requests allows. So others have their turn, too.
 *
 * @example
 * ```ts
 * const paced = createPacedConnections({clock, allowance, maxHeldBytes});
 * wrapConnections(server, paced.wrap);
 * ```
 */
export function createPacedConnections(
  cfg: PacedConnectionsConfig,
): PacedConnections {
  const connections = new WeakMap<Duplex, Paced>();
  /** Connections with unparsed bytes. */
  const holding = new Set<Paced>();
  const nextTurn = new Set<Paced>();
  let heldBytes = 0;
  let turn = 0;
  let turnStartedAt = cfg.clock.now();

  const startTurn = (): void => {
    turn++;
    turnStartedAt = cfg.clock.now();
    // Those that waited the longest first: the time may not suffice for all.
    const due = [...nextTurn].sort((a, b) => a.parsedAt() - b.parsedAt());
    nextTurn.clear();
    for (const paced of due) paced.parse();
  };

  /** Closes those that hold the most for the longest. */
  const closeStalled = (): void => {
    const cost = (paced: Paced): number =>
      paced.heldBytes() * paced.stalledMs();
    const candidates = [...holding]
      .filter(paced => paced.stalledMs() >= MIN_STALLED_MS)
      .sort((a, b) => cost(b) - cost(a));
    for (const {connection} of candidates) {
      if (heldBytes <= cfg.maxHeldBytes) return;
      connection.destroy();
    }
  };

  const pacing: Pacing = {
    ...cfg,
    hold(paced, bytes) {
      heldBytes += bytes;
      if (paced.heldBytes() > 0) holding.add(paced);
      else holding.delete(paced);
      if (bytes > 0 && heldBytes > cfg.maxHeldBytes) closeStalled();
    },
    heldBytes: () => heldBytes,
    turn: () => turn,
    isBodyTimeUsed: () =>
      cfg.clock.now() - turnStartedAt > BODY_TIME_PER_TURN_MS,
    parseNextTurn(paced) {
      if (nextTurn.size === 0) setImmediate(startTurn);
      nextTurn.add(paced);
    },
  };

  return {
    wrap(socket) {
      const paced = paceSocket(pacing, socket);
      connections.set(paced.connection, paced);
      return paced.connection;
    },
    resume: connection => connections.get(connection)?.parse(),
    receivedAt: connection =>
      connections.get(connection)?.receivedAt() ?? cfg.clock.now(),
    heldBytes: pacing.heldBytes,
  };
}

function paceSocket(pacing: Pacing, socket: Socket): Paced {
  const {clock} = pacing;
  const received = createReceivedBytes();
  /** The turn in which bytes were parsed last, and how many. */
  let parsedTurn = -1;
  let parsedBytes = 0;
  let isWanted = false;
  let receivedAt = clock.now();
  let parsedAt = receivedAt;

  const leftThisTurn = (): number => {
    if (parsedTurn !== pacing.turn()) parsedBytes = 0;
    parsedTurn = pacing.turn();
    return pacing.allowance(connection) - parsedBytes;
  };

  const parse = (): void => {
    if (!isWanted || received.isEmpty()) return;
    if (pacing.isBodyTimeUsed() && pacing.isReceiving(connection))
      return pacing.parseNextTurn(paced);
    const left = leftThisTurn();
    if (left > 0) parsePart(Math.min(left, MAX_PARSED_BYTES));
    // Its requests may be answered by then; else `resume` is called.
    if (parsedBytes > 0) pacing.parseNextTurn(paced);
  };

  const parsePart = (maxBytes: number): void => {
    const before = received.heldBytes();
    const {bytes, at} = received.take(maxBytes);
    pacing.hold(paced, received.heldBytes() - before);
    receivedAt = at;
    parsedAt = clock.now();
    parsedBytes += bytes.length;
    isWanted = false;
    connection.push(bytes);
    if (socket.isPaused() && mayReadAhead()) socket.resume();
  };

  const mayReadAhead = (): boolean =>
    received.isEmpty() ||
    (received.heldBytes() < READ_AHEAD_BYTES &&
      pacing.heldBytes() < pacing.maxHeldBytes);

  const connection = createSocketDuplex(socket, {
    onWanted() {
      isWanted = true;
      parse();
    },
    onDestroyed() {
      const held = received.heldBytes();
      received.clear();
      pacing.hold(paced, -held);
    },
  });
  const paced: Paced = {
    ...{connection, parse},
    receivedAt: () => receivedAt,
    parsedAt: () => parsedAt,
    heldBytes: received.heldBytes,
    stalledMs: () => clock.now() - parsedAt,
  };

  socket.on('data', (bytes: Buffer) => {
    // The caller is told to send it again on another connection.
    if (connection.isLingering()) return;
    const at = clock.now();
    if (received.isEmpty()) parsedAt = at;
    received.add(bytes, at);
    pacing.hold(paced, bytes.length);
    parse();
    if (!mayReadAhead()) socket.pause();
  });
  socket.on('end', () => {
    // Nobody waits for the answers; a paused reader would not learn of it.
    const isReading = received.isEmpty() && !connection.isPaused();
    if (isReading && !connection.isLingering()) connection.push(null);
    else connection.destroy();
  });
  return paced;
}

/**
 * Hands each socket that the server accepts to its own handlers as `wrap` returns
 * it.
 *
 * @example
 * ```ts
 * wrapConnections(server, paced.wrap);
 * ```
 */
export function wrapConnections(
  server: Server,
  wrap: (socket: Socket) => Duplex,
): void {
  const handlers = server.listeners('connection');
  server.removeAllListeners('connection');
  server.on('connection', (socket: Socket) => {
    const connection = wrap(socket);
    for (const handler of handlers) handler.call(server, connection);
  });
}
