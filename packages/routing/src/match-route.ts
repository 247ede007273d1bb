import type {Route, RoutingConfig} from './config.js';

/**
 * Finds the route of a request: the one of its host with the longest prefix of
 * the path. Null if there is none.
 *
 * Prefixes end with a slash, so only the prefixes of the path that end with one
 * are looked up. The cost depends on the path's depth, not on the number of
 * routes.
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

/** The host name in lower case, without the port, as in configurations. */
export function toHostName(host: string): string {
  const port = host.lastIndexOf(':');
  const name = port > host.lastIndexOf(']') ? host.slice(0, port) : host;
  return name.toLowerCase();
}

/** The path of a request target, without query and fragment. */
export function toPath(target: string): string {
  const end = target.search(/[?#]/);
  return end < 0 ? target : target.slice(0, end);
}
