import type {Clock} from '@banyandrum/base/clock.js';
import type {ServerClient, ServerRef} from './client.js';
import {createConnections} from './connections.js';
import type {Connections} from './connections.js';
import {askLoad, sendOrder} from './lease-orders.js';
import {sendRequest} from './requests.js';

/** Timeouts and sizes; see `DEFAULT_LIMITS`. */
export interface ServerClientLimits {
  /** Timeout for opening a connection, in ms. */
  readonly connectMs: number;
  /** Idle connections are closed after this time, in ms. */
  readonly idleMs: number;
  /** Timeout of a lease order, in ms. */
  readonly orderMs: number;
  /** Timeout of a load request, in ms. */
  readonly loadMs: number;
  /** Answers up to this size, in bytes, are buffered. */
  readonly gatherBytes: number;
}

export const DEFAULT_LIMITS: ServerClientLimits = {
  connectMs: 500,
  idleMs: 4_000,
  orderMs: 500,
  loadMs: 500,
  gatherBytes: 64 * 1024,
};

export interface ServerClientOptions {
  readonly clock: Clock;
  readonly limits?: Partial<ServerClientLimits>;
}

/**
 * Creates an HTTP client of all backend servers. An exchange that times out
 * closes its connection and the idle ones without an answer since then, so that
 * the next call opens a new one.
 *
 * @example
 * ```ts
 * const servers = createServerClient({clock: createClock()});
 * const ack = await servers.order(server, order);
 * await servers.close();
 * ```
 */
export function createServerClient(options: ServerClientOptions): ServerClient {
  const {clock} = options;
  const limits = {...DEFAULT_LIMITS, ...options.limits};
  const byAddress = new Map<string, Connections>();

  const connectionsOf = (server: ServerRef): Connections => {
    const known = byAddress.get(server.address);
    if (known !== undefined) {
      known.setLimit(server.connections);
      return known;
    }
    const origin = `http://${server.address}`;
    const made = createConnections(origin, server.connections, clock, limits);
    byAddress.set(server.address, made);
    return made;
  };

  return {
    order: (server, order, signal, mayWrite = isAlwaysAllowed) =>
      sendOrder(connectionsOf(server), clock, order, {
        timeoutMs: limits.orderMs,
        signal,
        mayWrite,
      }),
    load: (server, signal) =>
      askLoad(connectionsOf(server), clock, {
        timeoutMs: limits.loadMs,
        signal,
        mayWrite: isAlwaysAllowed,
      }),
    send: (server, dispatch) =>
      sendRequest(connectionsOf(server), clock, dispatch, limits.gatherBytes),
    forget(server) {
      byAddress.get(server.address)?.retire();
      byAddress.delete(server.address);
    },
    close() {
      for (const connections of byAddress.values()) connections.destroy();
      byAddress.clear();
      return Promise.resolve();
    },
  };
}

function isAlwaysAllowed(): boolean {
  return true;
}
