import type {Route} from './config.js';

/** Deals a route's requests out to its targets. */
export interface Splitter {
  /** The service that the route's next request goes to. */
  next(route: Route): string;
}

/**
 * Smooth weighted round robin: after any number of requests each target is
 * within one request of its share, where a random draw strays by the square
 * root of their number and misses narrow bounds on short stretches.
 *
 * @example
 * ```ts
 * const splitter = createSplitter();
 * const service = splitter.next(route);
 * ```
 */
export function createSplitter(): Splitter {
  const credits = new WeakMap<Route, number[]>();
  return {
    next(route) {
      const [first] = route.targets;
      if (route.targets.length === 1) return first!.service;
      const credit = credits.get(route) ?? startOf(route);
      credits.set(route, credit);
      return take(route, credit);
    },
  };
}

/**
 * Starts at a random place of the cycle: routers that all began with the
 * first target would send it the first request of each.
 */
function startOf(route: Route): number[] {
  return route.targets.map(({weight}) => weight * Math.random());
}

function take(route: Route, credit: number[]): string {
  let total = 0;
  let best = 0;
  route.targets.forEach(({weight}, at) => {
    total += weight;
    credit[at]! += weight;
    if (credit[at]! > credit[best]!) best = at;
  });
  credit[best]! -= total;
  return route.targets[best]!.service;
}
