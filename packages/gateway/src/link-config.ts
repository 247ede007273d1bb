import type {
  CallerLimits,
  Route,
  RoutingConfig,
  ServiceConfig,
} from '@banyandrum/routing/config.js';

/** A configuration as it travels between routers. */
export interface WireConfig {
  readonly version: number;
  /** Where it came from in the platform's log. */
  readonly cursor: number;
  readonly hosts: readonly (readonly [string, readonly Route[]])[];
  readonly services: readonly ServiceConfig[];
  readonly limits: CallerLimits;
}

/** The configuration as it travels. */
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

/** The configuration as it came. */
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
