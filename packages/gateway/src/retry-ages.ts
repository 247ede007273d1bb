/** For how long callers have been asking before they sent a request. */
export interface RetryAges {
  /**
   * Takes the time limit of a request, in ms, and yields for how long its
   * caller has been asking already, in ms; 0 where nothing shows it.
   */
  observe(route: string, limitMs: number): number;
}

/** Limits that differ by less than this share are one: connecting takes time. */
const TIMEOUT_TOLERANCE = 0.02;
/**
 * The highest limit that so large a share of a route's requests has is the one
 * with which its callers begin: those that come back once are half at the most.
 */
const MIN_INITIAL_SHARE = 0.25;
const MIN_INITIAL_COUNT = 3;
/** Less than this share of it is left to nobody who comes back in time. */
const MIN_REMAINING_SHARE = 0.5;
/** Requests that count half when as many more have come. */
const DECAY_COUNT = 50;

/** A route's limits, by their logarithm. */
interface RouteTimeouts {
  total: number;
  readonly buckets: Map<number, TimeoutBucket>;
}

interface TimeoutBucket {
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
export function createRetryAges(): RetryAges {
  const routes = new Map<string, RouteTimeouts>();

  const timeoutsOf = (route: string): RouteTimeouts => {
    const timeouts = routes.get(route) ?? {total: 0, buckets: new Map()};
    routes.set(route, timeouts);
    return timeouts;
  };

  return {
    observe(route, limitMs) {
      const limits = timeoutsOf(route);
      addTimeout(limits, limitMs);
      const usualMs = initialTimeoutOf(limits);
      const isBack =
        limitMs < usualMs * (1 - TIMEOUT_TOLERANCE) && limitMs >= usualMs * MIN_REMAINING_SHARE;
      return isBack ? Math.round(usualMs - limitMs) : 0;
    },
  };
}

function addTimeout(timeouts: RouteTimeouts, timeoutMs: number): void {
  const bucket = Math.floor(Math.log(timeoutMs) / TIMEOUT_TOLERANCE);
  const {count, meanMs} = timeouts.buckets.get(bucket) ?? {count: 0, meanMs: 0};
  const next = count + 1;
  timeouts.buckets.set(bucket, {
    count: next,
    meanMs: meanMs + (timeoutMs - meanMs) / next,
  });
  timeouts.total++;
  if (timeouts.total >= DECAY_COUNT) halveCounts(timeouts);
}

/** The limit with which callers begin, in ms; 0 where none is usual. */
function initialTimeoutOf({total, buckets: groups}: RouteTimeouts): number {
  const minCount = Math.max(MIN_INITIAL_COUNT, total * MIN_INITIAL_SHARE);
  let highest = -Infinity;
  let initialMs = 0;
  for (const [at, {count, meanMs}] of groups) {
    // One limit may lie on the edge between two groups.
    const neighbour = groups.get(at - 1)?.count ?? 0;
    if (at <= highest || count + neighbour < minCount) continue;
    highest = at;
    initialMs = meanMs;
  }
  return initialMs;
}

function halveCounts(timeouts: RouteTimeouts): void {
  timeouts.total = 0;
  for (const [at, {count, meanMs}] of timeouts.buckets) {
    const half = Math.floor(count / 2);
    timeouts.total += half;
    if (half > 0) timeouts.buckets.set(at, {count: half, meanMs});
    else timeouts.buckets.delete(at);
  }
}
