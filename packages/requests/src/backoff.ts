const BASE_MS = 20;
const MAX_MS = 1000;

/**
 * Returns the delay before retry number `retry` (from 1), in ms: exponential
 * with full jitter, so that requests that failed together aren't retried
 * together.
 *
 * @example
 * ```ts
 * await sleep(clock, backoffMs(1, Math.random)); // 0 to 20 ms
 * ```
 */
export function backoffMs(retry: number, random: () => number): number {
  const maxMs = Math.min(MAX_MS, BASE_MS * 2 ** (retry - 1));
  return maxMs * random();
}
