import type {Duplex} from 'node:stream';

/** A request's turn on its caller's connection. */
export interface Turn {
  /**
   * Whether the answer that is written next may end the connection: no later
   * request on it was taken in.
   */
  isNewest(): boolean;
  /** The answer that is written now ends the connection. */
  close(): void;
  /** The answer was written whole. */
  end(): void;
}

/** Requests that came on one connection. */
interface Connection {
  taken: number;
  /** Requests behind an answer that ends the connection count as unread. */
  isClosing: boolean;
  readonly gone: Set<() => void>;
}

/** The order of requests on callers' connections. */
export interface Turns {
  /**
   * Takes in the next request of a connection; null where an answer that ends
   * the connection was written before: it must not be passed on. `onGone` is
   * called once the connection is closed.
   */
  take(socket: Duplex, onGone: () => void): Turn | null;
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
export function createTurns(): Turns {
  const connections = new WeakMap<Duplex, Connection>();

  const connectionOf = (socket: Duplex): Connection => {
    const known = connections.get(socket);
    if (known !== undefined) return known;
    const connection: Connection = {
      taken: 0,
      isClosing: false,
      gone: new Set(),
    };
    connections.set(socket, connection);
    socket.once('close', () => {
      for (const onGone of connection.gone) onGone();
      connection.gone.clear();
    });
    return connection;
  };

  return {
    take(socket, onGone) {
      const connection = connectionOf(socket);
      if (connection.isClosing) return null;
      const number = ++connection.taken;
      connection.gone.add(onGone);
      return {
        isNewest: () => connection.taken === number,
        close() {
          connection.isClosing = true;
        },
        end: () => void connection.gone.delete(onGone),
      };
    },
  };
}
