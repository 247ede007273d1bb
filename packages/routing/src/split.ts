import type {Route} from './config.js';

/** Distributes a route's requests to its targets. */
export interface Splitter {
  /** Selects the service for the route's next request. */
  next(route: Route): string;
}

/**
 * Creates a splitter that uses smooth weighted round robin: after any number of
 * requests, each target is within one request of its share. Random selection
 * deviates by the square root of that number, which exceeds narrow bounds over
 * short periods.
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
 * Initial weights at a random point of the cycle. Otherwise all routers would
 * send their first request to the same target.
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
