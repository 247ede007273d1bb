/** For how long callers have been asking before they sent a request. */
export interface CallerAges {
  /**
   * Takes the time limit of a request, in ms, and yields for how long its
   * caller has been asking already, in ms; 0 where nothing shows it.
   */
  take(route: string, limitMs: number): number;
}

/** Limits of a route that are usual: this share of its requests has them. */
const USUAL_SHARE = 0.1;
const USUAL_COUNT = 3;
/** Older requests count half after so many. */
const MEMORY = 200;

interface Limits {
  total: number;
  readonly counts: Map<number, number>;
}

/**
 * Tells callers that come back after a refusal from new ones. Clients of a kind
 * begin with the same time limit, and come back with what is left of it. Taken
 * for new, those that came back waited for places from which their answers came
 * too late, and kept others from theirs. Where limits differ from request to
 * request nobody is taken for older.
 *
 * @example
 * ```ts
 * const ages = createCallerAges();
 * const askedMs = ages.take('holds', 1_640);
 * ```
 */
export function createCallerAges(): CallerAges {
  const routes = new Map<string, Limits>();

  const limitsOf = (route: string): Limits => {
    const limits = routes.get(route) ?? {total: 0, counts: new Map()};
    routes.set(route, limits);
    return limits;
  };

  return {
    take(route, limitMs) {
      const limits = limitsOf(route);
      const limit = Math.round(limitMs);
      limits.total++;
      limits.counts.set(limit, (limits.counts.get(limit) ?? 0) + 1);
      if (limits.total > MEMORY) halve(limits);
      return usualAbove(limits, limit) - limit;
    },
  };
}

/** The lowest usual limit that is no less; the limit itself without one. */
function usualAbove({total, counts}: Limits, limit: number): number {
  const least = Math.max(USUAL_COUNT, total * USUAL_SHARE);
  let lowest = Infinity;
  for (const [usual, count] of counts) {
    if (usual < limit || usual >= lowest || count < least) continue;
    lowest = usual;
  }
  return lowest === Infinity ? limit : lowest;
}

function halve(limits: Limits): void {
  limits.total = 0;
  for (const [limit, count] of limits.counts) {
    const half = Math.floor(count / 2);
    limits.total += half;
    if (half > 0) limits.counts.set(limit, half);
    else limits.counts.delete(limit);
  }
}
