import type {Duplex} from 'node:stream';
import type {CancelSignal} from '@banyandrum/base/cancel.js';
import {closeGracefully} from './socket-duplex.js';

/** A request among those that are pipelined on its connection. */
export interface PipelinedRequest {
  /**
   * Whether no later request was accepted on the connection, so that this
   * request's response may close it.
   */
  isNewest(): boolean;
  /**
   * Resolves when the request may be forwarded, or `signal` is aborted; null if
   * it may be at once.
   */
  waitForTurn(signal: CancelSignal): Promise<void> | null;
  /** Call when the request is forwarded no more. */
  endTurn(): void;
  /** Call before writing a response that closes the connection. */
  markLast(): void;
  /** Call when the response is fully written. */
  finish(): void;
}

/** State of one connection. */
interface Connection {
  /** Number of requests accepted so far. */
  accepted: number;
  /** Whether a response closes the connection; later requests are ignored. */
  hasLastResponse: boolean;
  /** Requests that are not finished; whether each was received whole. */
  readonly pending: Map<() => void, () => boolean>;
  /** Whether the last request that was accepted was received whole. */
  isNewestReceived: () => boolean;
  /** Number of requests that are being forwarded. */
  forwarded: number;
  /** Starts the requests that wait for their turn, in order. */
  readonly waiting: Set<() => void>;
  /** Whether it closes once the requests that were received are answered. */
  isBroken: boolean;
}

/** What is open on one connection. */
export interface PipelineState {
  /** Requests whose answers are not fully written. */
  readonly open: number;
  /** Whether the last of them has not been received whole. */
  readonly isReceiving: boolean;
  /** Whether a response closes the connection, and nothing more is read. */
  readonly isLast: boolean;
}

/** Dependencies of the pipelines. */
export interface RequestPipelinesConfig {
  /** Bytes of answers that the caller has not read, of a connection. */
  unreadBytes(socket: Duplex): number;
  /** Requests of a connection that may be forwarded at a time. */
  maxForwarded(): number;
}

/** Tracks pipelined requests on callers' connections. */
export interface RequestPipelines {
  /**
   * Accepts the next request of a connection. Returns null if an earlier
   * response closes the connection; the request must not be forwarded then.
   * Calls `onClose` when the connection closes before the request is finished.
   * `isReceived` tells whether the request was received whole.
   */
  accept(
    socket: Duplex,
    onClose: () => void,
    isReceived: () => boolean,
  ): PipelinedRequest | null;
  /** What is open on a connection. */
  stateOf(socket: Duplex): PipelineState;
  /**
   * Closes the connection once all requests that were received whole are
   * answered. Returns false if there is none.
   */
  closeAfterAnswers(socket: Duplex): boolean;
}

/**
 * Unread answers of a connection, in bytes, from which on its next requests wait
 * until they are read.
 */
const MAX_UNREAD_BYTES = 64 * 1024;

const NOTHING_OPEN: PipelineState = {
  ...{open: 0, isReceiving: false, isLast: false},
};

/**
 * Tracks requests that callers pipeline, that is, send before earlier ones are
 * answered. Node's HTTP server writes responses in order and discards
 * everything after a response with `Connection: close`, so only the newest
 * forwarded request may have such a response. Besides, it emits `close` only on
 * the first pending response when the caller disconnects.
 *
 * @example
 * ```ts
 * const request = pipelines.accept(req.socket, cancel, () => req.complete);
 * if (request === null) return;
 * ```
 */
export function createRequestPipelines(
  cfg: RequestPipelinesConfig,
): RequestPipelines {
  const connections = new WeakMap<Duplex, Connection>();

  const connectionOf = (socket: Duplex): Connection => {
    const known = connections.get(socket);
    if (known !== undefined) return known;
    const connection: Connection = {
      accepted: 0,
      hasLastResponse: false,
      pending: new Map(),
      isNewestReceived: () => true,
      forwarded: 0,
      waiting: new Set(),
      isBroken: false,
    };
    connections.set(socket, connection);
    const close = (): void => {
      for (const onClose of [...connection.pending.keys()]) onClose();
      connection.pending.clear();
    };
    // The server closes the connection after its end, but turns later.
    socket.once('end', close);
    socket.once('close', close);
    return connection;
  };

  const mayForward = (socket: Duplex, {forwarded}: Connection): boolean =>
    forwarded < cfg.maxForwarded() &&
    cfg.unreadBytes(socket) < MAX_UNREAD_BYTES;

  const startWaiting = (socket: Duplex, connection: Connection): void => {
    for (const start of connection.waiting) {
      if (!mayForward(socket, connection)) return;
      start();
    }
  };

  const isAnswerDue = ({pending}: Connection): boolean =>
    [...pending.values()].some(isReceived => isReceived());

  return {
    stateOf(socket) {
      const connection = connections.get(socket);
      if (connection === undefined) return NOTHING_OPEN;
      const {pending, isNewestReceived, hasLastResponse} = connection;
      const isReceiving = !isNewestReceived();
      return {open: pending.size, isReceiving, isLast: hasLastResponse};
    },
    closeAfterAnswers(socket) {
      const connection = connections.get(socket);
      if (connection === undefined || !isAnswerDue(connection)) return false;
      connection.isBroken = true;
      return true;
    },
    accept(socket, onClose, isReceived) {
      const connection = connectionOf(socket);
      if (connection.hasLastResponse) return null;
      const number = ++connection.accepted;
      let hasTurn = false;
      const takeTurn = (): null => {
        hasTurn = true;
        connection.forwarded++;
        return null;
      };
      connection.pending.set(onClose, isReceived);
      connection.isNewestReceived = isReceived;
      return {
        isNewest: () => connection.accepted === number,
        waitForTurn(signal) {
          if (connection.waiting.size === 0 && mayForward(socket, connection))
            return takeTurn();
          return new Promise(resolve => {
            const end = (): void => {
              connection.waiting.delete(start);
              signal.removeEventListener('abort', end);
              resolve();
            };
            const start = (): void => {
              takeTurn();
              end();
            };
            connection.waiting.add(start);
            signal.addEventListener('abort', end);
            if (signal.aborted) end();
          });
        },
        endTurn() {
          if (!hasTurn) return;
          hasTurn = false;
          connection.forwarded--;
          startWaiting(socket, connection);
        },
        markLast() {
          connection.hasLastResponse = true;
        },
        finish() {
          connection.pending.delete(onClose);
          startWaiting(socket, connection);
          if (connection.isBroken && !isAnswerDue(connection))
            closeGracefully(socket);
        },
      };
    },
  };
}
