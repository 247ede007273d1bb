import {currentFailureRate, type Backend} from './backend.js';

/** Service time that is assumed before any measurement, in ms. */
export const DEFAULT_SERVICE_MS = 200;

/** Servers with at least this failure rate are used only as a last resort. */
const UNHEALTHY_FAILURE_RATE = 0.5;
/** Approximate slowdown of servers that started recently. */
const COLD_START_FACTOR = 2;

/** Returns the healthy servers, or all of them if none is healthy. */
export function preferHealthy(
  backends: readonly Backend[],
  now: number,
): readonly Backend[] {
  const healthy = backends.filter(backend => isHealthy(backend, now));
  return healthy.length > 0 ? healthy : backends;
}

/** Whether the server is neither ejected nor failing too many requests. */
export function isHealthy(backend: Backend, now: number): boolean {
  if (backend.ejectedUntil > now) return false;
  // The rate only decays, so the current one can't be higher.
  if (backend.failureRate < UNHEALTHY_FAILURE_RATE) return true;
  return currentFailureRate(backend, now) < UNHEALTHY_FAILURE_RATE;
}

/**
 * Cost of a request at the server: the expected service time in ms, increased
 * by the failure rate. `typicalMs` is used if no service time was measured.
 * `expectedMs` replaces the measured time if the request's own is known.
 */
export function costOf(
  backend: Backend,
  typicalMs: number,
  now: number,
  expectedMs: number | null = null,
): number {
  const serviceMs = expectedMs ?? (backend.serviceMs || typicalMs);
  const cold = backend.coldUntil > now ? COLD_START_FACTOR : 1;
  const failures = currentFailureRate(backend, now);
  return (serviceMs * cold) / (1 - failures) ** 2;
}

/** Mean service time of the servers with measurements, in ms. */
export function typicalServiceMs(backends: readonly Backend[]): number {
  return meanMs(
    backends.map(({serviceMs}) => serviceMs),
    DEFAULT_SERVICE_MS,
  );
}

/** Mean of the known times, in ms; an unknown time is 0. */
export function meanMs(times: readonly number[], fallbackMs: number): number {
  const known = times.filter(ms => ms > 0);
  if (known.length === 0) return fallbackMs;
  return known.reduce((sum, ms) => sum + ms, 0) / known.length;
}
