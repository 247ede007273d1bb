/** Estimates for how long callers had been retrying before a request. */
export interface RetryAges {
  /**
   * Records the timeout of a request, in ms, and returns for how long its
   * caller had been retrying already, in ms; 0 if it appears to be a first
   * attempt.
   */
  observe(route: string, timeoutMs: number): number;
}

/**
 * Relative difference below which two timeouts count as equal. Callers deduct
 * the time that they spent on connecting, so equal timeouts vary by a few ms.
 */
const TIMEOUT_TOLERANCE = 0.02;
/**
 * The initial timeout of a route's callers is the highest timeout that at least
 * this share of its requests has. Callers that retry once make up half of the
 * requests at most.
 */
const MIN_INITIAL_SHARE = 0.25;
const MIN_INITIAL_COUNT = 3;
/**
 * Callers that retry in time have at least this share of the initial timeout
 * left. A shorter timeout belongs to another kind of client.
 */
const MIN_REMAINING_SHARE = 0.5;
/** All counts are halved each time their total reaches this number. */
const DECAY_COUNT = 50;

/** Histogram of a route's timeouts; buckets are logarithmic. */
interface RouteTimeouts {
  total: number;
  readonly buckets: Map<number, TimeoutBucket>;
}

interface TimeoutBucket {
  readonly count: number;
  readonly meanMs: number;
}

/**
 * Distinguishes retries after a refusal from first attempts. Clients of one
 * kind start with the same timeout and retry with the remainder. When retries
 * were treated as first attempts, they waited for slots until their responses
 * came too late, and took those slots from other requests. If the timeouts of a
 * route vary from request to request, none is treated as a retry.
 *
 * @example
 * ```ts
 * const retryAges = createRetryAges();
 * const askedMs = retryAges.observe('holds', 1_640);
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
    observe(route, timeoutMs) {
      const timeouts = timeoutsOf(route);
      addTimeout(timeouts, timeoutMs);
      const initialMs = initialTimeoutOf(timeouts);
      const isRetry =
        timeoutMs < initialMs * (1 - TIMEOUT_TOLERANCE) &&
        timeoutMs >= initialMs * MIN_REMAINING_SHARE;
      return isRetry ? Math.round(initialMs - timeoutMs) : 0;
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

/** The timeout of first attempts, in ms; 0 if no timeout is frequent enough. */
function initialTimeoutOf({total, buckets}: RouteTimeouts): number {
  const minCount = Math.max(MIN_INITIAL_COUNT, total * MIN_INITIAL_SHARE);
  let highest = -Infinity;
  let initialMs = 0;
  for (const [at, {count, meanMs}] of buckets) {
    // Equal timeouts may be split over two adjacent buckets.
    const neighbour = buckets.get(at - 1)?.count ?? 0;
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
