import type {Clock} from '@banyandrum/base/clock.js';

/** What the return time of callers depends on while there is no leader. */
export interface LeaderlessRetryConfig {
  readonly clock: Clock;
  /** Time since the last message from a leader, in ms; Infinity if none. */
  leaderAgeMs(): number;
  /** Returns a number from 0 to 1, exclusive of 1. */
  random(): number;
}

/** Bounds of the return time, in ms. */
const MIN_RETRY_MS = 300;
const MAX_RETRY_MS = 1_500;
/**
 * Part by which return times differ, so that callers which were refused
 * together don't return together.
 */
const SPREAD = 0.5;

/**
 * Returns a function that tells callers when to return if only a leader could
 * serve them, in ms. An outage of unknown length goes on for about as long as
 * it has lasted. With a short constant, callers used up their retries within a
 * second, and all returned as the next leader began.
 *
 * @example
 * ```ts
 * const leaderlessRetryMs = createLeaderlessRetry(cfg);
 * refuse(leaderlessRetryMs());
 * ```
 */
export function createLeaderlessRetry({
  clock,
  leaderAgeMs,
  random,
}: LeaderlessRetryConfig): () => number {
  const startedAt = clock.now();
  return () => {
    const outageMs = Math.min(leaderAgeMs(), clock.now() - startedAt);
    const retryMs = Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, outageMs));
    return Math.round(retryMs * (1 + (random() - 0.5) * SPREAD));
  };
}
