export interface BackoffOptions {
  /** Maximum of the first delay, in ms; doubled after each failure. */
  readonly firstMs: number;
  /** Maximum of any delay, in ms. */
  readonly capMs: number;
  /** Returns numbers from 0 to below 1, as `Math.random` does. */
  readonly random: () => number;
}

/** Delays between retries. */
export interface Backoff {
  /** The delay after another failure, in ms. */
  next(): number;
  /** Resets the delay after a success. */
  reset(): void;
}

/**
 * Creates a capped exponential backoff with full jitter: each delay is uniform
 * between 0 and its maximum. Without jitter, readers that lost the log at the
 * same time would also retry at the same time and overload it again.
 *
 * @example
 * ```ts
 * const backoff = createBackoff({firstMs: 100, capMs: 2000, random});
 * await sleep(clock, backoff.next(), signal);
 * ```
 */
export function createBackoff(options: BackoffOptions): Backoff {
  const {firstMs, capMs, random} = options;
  let maxMs = firstMs;
  return {
    next() {
      const delayMs = random() * maxMs;
      maxMs = Math.min(capMs, maxMs * 2);
      return delayMs;
    },
    reset() {
      maxMs = firstMs;
    },
  };
}
