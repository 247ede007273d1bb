import type {
  CallerLimits,
  Route,
  RoutingConfig,
  ServiceConfig,
} from '@banyandrum/routing/config.js';

/** A configuration in the format in which routers exchange it. */
export interface WireConfig {
  readonly version: number;
  /** Its position in the platform's log. */
  readonly cursor: number;
  readonly hosts: readonly (readonly [string, readonly Route[]])[];
  readonly services: readonly ServiceConfig[];
  readonly limits: CallerLimits;
}

/** Converts a configuration to wire format. */
export function toWireConfig(
  {version, hosts, services, limits}: RoutingConfig,
  cursor: number,
): WireConfig {
  return {
    ...{version, cursor, limits},
    hosts: [...hosts].map(([host, routes]) => [host, [...routes.values()]]),
    services: [...services.values()],
  };
}

/** Converts a configuration from wire format. */
export function fromWireConfig({
  version,
  hosts,
  services,
  limits,
}: WireConfig): RoutingConfig {
  return {
    ...{version, limits},
    hosts: new Map(
      hosts.map(([host, routes]) => [
        host,
        new Map(routes.map(route => [route.pathPrefix, route])),
      ]),
    ),
    services: new Map(services.map(service => [service.name, service])),
  };
}
