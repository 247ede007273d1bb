import {currentFailureRate, type Backend} from './backend.js';

/** A request's time at a server before anything was measured, in ms. */
export const DEFAULT_SERVICE_MS = 200;

/** A server that fails this share of its requests is a last resort. */
const UNHEALTHY_FAILURE_RATE = 0.5;
/** Servers that started lately take about so many times as long. */
const COLD_START_FACTOR = 2;

/** Those of the servers that seem sound; all of them where none does. */
export function preferHealthy(
  backends: readonly Backend[],
  now: number,
): readonly Backend[] {
  const healthy = backends.filter(backend => isHealthy(backend, now));
  return healthy.length > 0 ? healthy : backends;
}

/** Whether the server is neither passed over nor a last resort. */
export function isHealthy(backend: Backend, now: number): boolean {
  if (backend.ejectedUntil > now) return false;
  // The share only fades with time.
  if (backend.failureRate < UNHEALTHY_FAILURE_RATE) return true;
  return currentFailureRate(backend, now) < UNHEALTHY_FAILURE_RATE;
}

/**
 * What a request costs at the server: its time there in ms, higher where it
 * would perhaps fail. `typicalMs` stands in where nothing was measured.
 */
export function costOf(
  backend: Backend,
  typicalMs: number,
  now: number,
): number {
  const serviceMs = backend.serviceMs || typicalMs;
  const cold = backend.coldUntil > now ? COLD_START_FACTOR : 1;
  const failures = currentFailureRate(backend, now);
  return (serviceMs * cold) / (1 - failures) ** 2;
}

/** The mean time of the servers that were measured, in ms. */
export function typicalServiceMs(backends: readonly Backend[]): number {
  return meanMs(
    backends.map(({serviceMs}) => serviceMs),
    DEFAULT_SERVICE_MS,
  );
}

/** The mean of the times that are known, in ms; 0 stands for an unknown one. */
export function meanMs(times: readonly number[], fallbackMs: number): number {
  const known = times.filter(ms => ms > 0);
  if (known.length === 0) return fallbackMs;
  return known.reduce((sum, ms) => sum + ms, 0) / known.length;
}
