import type {Backend} from '@banyandrum/dispatch/backend.js';

/** What `listReadIntervalMs` depends on. */
export interface ListReadIntervalConfig {
  readonly backends: Iterable<Backend>;
  /** See `ServiceConfig.coldPerSecond`. */
  coldPerSecondOf(service: string): number | null;
}

/**
 * Requests that a server may get between two reads of the list. A server can turn
 * cold at any moment, and gets requests as a warm one until that is read.
 */
export const MAX_UNREAD_REQUESTS = 6;
/** Limits of the interval, in ms; the longest bounds the news of all else. */
export const MIN_INTERVAL_MS = 50;
const MAX_INTERVAL_MS = 400;

/**
 * Interval at which the list of servers has to be read, in ms, so that a server
 * that turns cold gets few requests before. Only servers with a limit while they
 * are cold shorten it, the more the quicker they answer.
 *
 * @example
 * ```ts
 * listReadIntervalMs({backends: backends.all(), coldPerSecondOf}); // 400
 * ```
 */
export function listReadIntervalMs({
  backends,
  coldPerSecondOf,
}: ListReadIntervalConfig): number {
  let intervalMs = MAX_INTERVAL_MS;
  for (const backend of backends) {
    if (coldPerSecondOf(backend.info.service) === null) continue;
    const msPerRequest = backend.serviceMs / backend.info.slots;
    if (msPerRequest === 0) continue;
    intervalMs = Math.min(intervalMs, msPerRequest * MAX_UNREAD_REQUESTS);
  }
  return Math.max(MIN_INTERVAL_MS, intervalMs);
}
