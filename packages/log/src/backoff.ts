export interface BackoffOptions {
  /** Upper bound of the first pause, in ms; it doubles with each failure. */
  readonly firstMs: number;
  /** Upper bound of every pause, in ms. */
  readonly capMs: number;
  /** From 0 to below 1, as `Math.random`. */
  readonly random: () => number;
}

/** Pauses between retries. */
export interface Backoff {
  /** The pause after one more failure, in ms. */
  next(): number;
  /** Starts over after a success. */
  reset(): void;
}

/**
 * Capped exponential backoff with full jitter: each pause is drawn evenly
 * from 0 to its bound. Readers that lost the log at the same moment would
 * else come back at the same moments, too, and keep it down.
 *
 * @example
 * ```ts
 * const backoff = createBackoff({firstMs: 100, capMs: 2000, random});
 * await sleep(clock, backoff.next(), signal);
 * ```
 */
export function createBackoff(options: BackoffOptions): Backoff {
  const {firstMs, capMs, random} = options;
  let bound = firstMs;
  return {
    next() {
      const pause = random() * bound;
      bound = Math.min(capMs, bound * 2);
      return pause;
    },
    reset() {
      bound = firstMs;
    },
  };
}
