import type {Route, RoutingConfig} from './config.js';

/**
 * The route of a request: among those of its host, the one with the longest
 * prefix that begins the path. Null where there is none.
 *
 * Prefixes end with a slash, so only the path's own slashes are tried: the
 * cost follows the path's depth, not the number of routes.
 *
 * @example
 * ```ts
 * matchRoute(config, 'beds.example:80', '/holds/7?ward=3');
 * ```
 */
export function matchRoute(
  config: RoutingConfig,
  host: string,
  target: string,
): Route | null {
  const routes = config.hosts.get(toHostName(host));
  if (routes === undefined) return null;
  const path = toPath(target);
  for (let at = path.lastIndexOf('/'); at >= 0;) {
    const route = routes.get(path.slice(0, at + 1));
    if (route !== undefined) return route;
    if (at === 0) return null;
    at = path.lastIndexOf('/', at - 1);
  }
  return null;
}

/** A host's name as configurations have it, without a port. */
export function toHostName(host: string): string {
  const port = host.lastIndexOf(':');
  const name = port > host.lastIndexOf(']') ? host.slice(0, port) : host;
  return name.toLowerCase();
}

/** A request's path without its query. */
export function toPath(target: string): string {
  const end = target.search(/[?#]/);
  return end < 0 ? target : target.slice(0, end);
}
