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
  const weightsByRoute = new WeakMap<Route, number[]>();
  return {
    next(route) {
      const [first] = route.targets;
      if (route.targets.length === 1) return first!.service;
      const currentWeights = weightsByRoute.get(route) ?? randomStart(route);
      weightsByRoute.set(route, currentWeights);
      return pickTarget(route, currentWeights);
    },
  };
}

/**
 * Starts at a random place of the cycle: routers that all began with the
 * first target would send it the first request of each.
 */
function randomStart(route: Route): number[] {
  return route.targets.map(({weight}) => weight * Math.random());
}

function pickTarget(route: Route, currentWeights: number[]): string {
  let total = 0;
  let best = 0;
  route.targets.forEach(({weight}, at) => {
    total += weight;
    currentWeights[at]! += weight;
    if (currentWeights[at]! > currentWeights[best]!) best = at;
  });
  currentWeights[best]! -= total;
  return route.targets[best]!.service;
}
