import type {Backends} from '@banyandrum/dispatch/backends.js';
import {ASSUMED_ROUTERS} from '@banyandrum/dispatch/router-total.js';
import type {RoutingConfig} from '@banyandrum/routing/config.js';

/** Connections of each server that are reserved for lease calls. */
const RESERVED_CONNECTIONS = 4;
/** With a single connection, one that hangs would cut off the server. */
const MIN_CONNECTIONS = 2;

/**
 * Limits this router's connections to each server to its share of the number
 * that the server accepts from all routers together. `routers` is their number,
 * null if it is unknown.
 *
 * @example
 * ```ts
 * limitConnections(backends, config.services, 12);
 * ```
 */
export function limitConnections(
  backends: Backends,
  services: RoutingConfig['services'],
  routers: number | null,
): void {
  const count = routers ?? ASSUMED_ROUTERS;
  backends.setConnectionLimit(service => {
    const serverLimit = services.get(service)?.maxConnections ?? 0;
    const share = Math.floor((serverLimit - RESERVED_CONNECTIONS) / count);
    return Math.max(MIN_CONNECTIONS, share);
  });
}
