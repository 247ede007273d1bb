import type {Duplex} from 'node:stream';

/** A request's turn on its caller's connection. */
export interface PipelinedRequest {
  /**
   * Whether the answer that is written next may end the connection: no later
   * request on it was taken in.
   */
  isNewest(): boolean;
  /** The answer that is written now ends the connection. */
  markLast(): void;
  /** The answer was written whole. */
  finish(): void;
}

/** Requests that came on one connection. */
interface Connection {
  accepted: number;
  /** Requests behind an answer that ends the connection count as unread. */
  hasLastResponse: boolean;
  readonly closeListeners: Set<() => void>;
}

/** The order of requests on callers' connections. */
export interface RequestPipelines {
  /**
   * Takes in the next request of a connection; null where an answer that ends
   * the connection was written before: it must not be passed on. `onGone` is
   * called once the connection is closed.
   */
  accept(socket: Duplex, onGone: () => void): PipelinedRequest | null;
}

/**
 * Callers may send requests before earlier ones are answered. The HTTP server
 * answers in order and cuts all that lies behind an answer with `Connection:
 * close`, so that such an answer must be the last one that was passed on; and
 * it tells only the first waiting answer that the caller has gone.
 *
 * @example
 * ```ts
 * const turn = turns.take(req.socket, () => canceller.abort());
 * if (turn === null) return;
 * ```
 */
export function createRequestPipelines(): RequestPipelines {
  const connections = new WeakMap<Duplex, Connection>();

  const connectionOf = (socket: Duplex): Connection => {
    const known = connections.get(socket);
    if (known !== undefined) return known;
    const connection: Connection = {
      accepted: 0,
      hasLastResponse: false,
      closeListeners: new Set(),
    };
    connections.set(socket, connection);
    socket.once('close', () => {
      for (const onGone of connection.closeListeners) onGone();
      connection.closeListeners.clear();
    });
    return connection;
  };

  return {
    accept(socket, onGone) {
      const connection = connectionOf(socket);
      if (connection.hasLastResponse) return null;
      const number = ++connection.accepted;
      connection.closeListeners.add(onGone);
      return {
        isNewest: () => connection.accepted === number,
        markLast() {
          connection.hasLastResponse = true;
        },
        finish: () => void connection.closeListeners.delete(onGone),
      };
    },
  };
}
