import type {Server} from 'node:http';
import {Server as NetServer} from 'node:net';
import type {Duplex} from 'node:stream';
import type {Emit} from '@banyandrum/dispatch/events.js';
import type {OpenRequests} from './open-requests.js';
import type {SocketDuplex} from './socket-duplex.js';

/** The connections of callers, and how they end as the router stops. */
export interface CallerConnections {
  /** Counts a connection until it closes. */
  add(connection: SocketDuplex): void;
  /** Call when a request of the connection has been answered. */
  noteAnswered(connection: Duplex): void;
  /** Number of open connections. */
  count(): number;
  /** Number of those that only wait for their callers to close them. */
  lingeringCount(): number;
  /** Accepts no more connections; those that are open stay. */
  stopListening(): void;
  /**
   * Closes connections whose last request is answered, unless an answer on any
   * connection is not fully written, or a request may not be parsed.
   */
  closeIdle(): void;
  /** Closes all connections, with what is open on them. */
  closeAll(): void;
}

/** Dependencies of the connections. */
export interface CallerConnectionsConfig {
  readonly server: Server;
  readonly emit: Emit;
  readonly openRequests: Pick<OpenRequests, 'unwrittenCount'>;
  /** Requests of a connection that are open. */
  openOn(connection: Duplex): number;
  /** Bytes of all connections that were received and not parsed. */
  unparsedBytes(): number;
  /** Connections that may be open. */
  readonly maxConnections: number;
}

/**
 * Keeps the connections of the callers' server. Each takes a descriptor: without
 * a limit, callers that open more and more of them leave none to reach servers,
 * other routers and the store. Beyond the limit, connections without a request
 * are closed: first those on which none was answered, then those that have been
 * idle for longest.
 *
 * @example
 * ```ts
 * const connections = createCallerConnections(cfg);
 * connections.add(connection);
 * connections.stopListening();
 * ```
 */
export function createCallerConnections(
  cfg: CallerConnectionsConfig,
): CallerConnections {
  const {server, openRequests} = cfg;
  /** Connections on which no request was answered, the oldest first. */
  const unused = new Set<SocketDuplex>();
  /** The others, by the time of their last answer. */
  const used = new Set<SocketDuplex>();
  const count = (): number => unused.size + used.size;

  const findIdle = (): SocketDuplex | null => {
    for (const connections of [unused, used]) {
      for (const connection of connections) {
        if (cfg.openOn(connection) === 0) return connection;
      }
    }
    return null;
  };

  const forget = (connection: SocketDuplex): void => {
    unused.delete(connection);
    used.delete(connection);
  };

  const evict = (newest: SocketDuplex): void => {
    const evicted = findIdle() ?? newest;
    forget(evicted);
    evicted.destroy();
    cfg.emit('connection-evicted', {isNewest: evicted === newest});
  };

  return {
    add(connection) {
      if (count() >= cfg.maxConnections) evict(connection);
      if (connection.destroyed) return;
      unused.add(connection);
      connection.once('close', () => forget(connection));
    },
    noteAnswered(connection) {
      const answered = connection as SocketDuplex;
      if (answered.destroyed) return;
      forget(answered);
      used.add(answered);
    },
    count,
    lingeringCount: () =>
      [...unused, ...used].filter(each => each.isLingering()).length,
    // The HTTP server's own method closes idle connections as well.
    stopListening: () => void NetServer.prototype.close.call(server),
    closeIdle() {
      // The HTTP server counts a connection as idle once its answer has ended,
      // although a slow reader may not have got all of it.
      const isWriting = openRequests.unwrittenCount() > 0;
      if (!isWriting && cfg.unparsedBytes() === 0)
        server.closeIdleConnections();
    },
    closeAll: () => server.closeAllConnections(),
  };
}
