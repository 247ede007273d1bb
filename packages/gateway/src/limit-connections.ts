import type {Backends} from '@banyandrum/dispatch/backends.js';
import type {RoutingConfig} from '@banyandrum/routing/config.js';

/** Connections of each server that are left for orders. */
const RESERVED_CONNECTIONS = 4;
/** One that hangs must not keep a router from a server altogether. */
const MIN_CONNECTIONS = 2;

/**
 * Gives this router its share of what each server takes from all of them.
 *
 * @example
 * ```ts
 * limitConnections(backends, config.services, 12);
 * ```
 */
export function limitConnections(
  backends: Backends,
  services: RoutingConfig['services'],
  routers: number,
): void {
  backends.setConnectionLimit(service => {
    const serverLimit = services.get(service)?.maxConnections ?? 0;
    const share = Math.floor((serverLimit - RESERVED_CONNECTIONS) / routers);
    return Math.max(MIN_CONNECTIONS, share);
  });
}
