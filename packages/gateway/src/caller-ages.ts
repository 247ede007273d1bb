/** For how long callers have been asking before they sent a request. */
export interface CallerAges {
  /**
   * Takes the time limit of a request, in ms, and yields for how long its
   * caller has been asking already, in ms; 0 where nothing shows it.
   */
  take(route: string, limitMs: number): number;
}

/** Limits that differ by less than this share are one: connecting takes time. */
const LIKE = 0.02;
/**
 * The highest limit that so large a share of a route's requests has is the one
 * with which its callers begin: those that come back once are half at the most.
 */
const USUAL_SHARE = 0.25;
const USUAL_COUNT = 3;
/** Less than this share of it is left to nobody who comes back in time. */
const LEAST_SHARE = 0.5;
/** Requests that count half when as many more have come. */
const MEMORY = 50;

/** A route's limits, by their logarithm. */
interface Limits {
  total: number;
  readonly groups: Map<number, Group>;
}

interface Group {
  readonly count: number;
  readonly meanMs: number;
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
    const limits = routes.get(route) ?? {total: 0, groups: new Map()};
    routes.set(route, limits);
    return limits;
  };

  return {
    take(route, limitMs) {
      const limits = limitsOf(route);
      note(limits, limitMs);
      const usualMs = usualOf(limits);
      const isBack =
        limitMs < usualMs * (1 - LIKE) && limitMs >= usualMs * LEAST_SHARE;
      return isBack ? Math.round(usualMs - limitMs) : 0;
    },
  };
}

function note(limits: Limits, limitMs: number): void {
  const at = Math.floor(Math.log(limitMs) / LIKE);
  const {count, meanMs} = limits.groups.get(at) ?? {count: 0, meanMs: 0};
  const next = count + 1;
  limits.groups.set(at, {
    count: next,
    meanMs: meanMs + (limitMs - meanMs) / next,
  });
  limits.total++;
  if (limits.total >= MEMORY) halve(limits);
}

/** The limit with which callers begin, in ms; 0 where none is usual. */
function usualOf({total, groups}: Limits): number {
  const least = Math.max(USUAL_COUNT, total * USUAL_SHARE);
  let highest = -Infinity;
  let usualMs = 0;
  for (const [at, {count, meanMs}] of groups) {
    // One limit may lie on the edge between two groups.
    const beside = groups.get(at - 1)?.count ?? 0;
    if (at <= highest || count + beside < least) continue;
    highest = at;
    usualMs = meanMs;
  }
  return usualMs;
}

function halve(limits: Limits): void {
  limits.total = 0;
  for (const [at, {count, meanMs}] of limits.groups) {
    const half = Math.floor(count / 2);
    limits.total += half;
    if (half > 0) limits.groups.set(at, {count: half, meanMs});
    else limits.groups.delete(at);
  }
}
