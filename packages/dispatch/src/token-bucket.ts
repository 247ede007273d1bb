/** Rate limiter that refills at a fixed rate and permits a short burst. */
export interface TokenBucket {
  /** Whether a token is available at the monotonic time `now`, in ms. */
  hasToken(now: number): boolean;
  /** Takes a token; the balance may become negative. */
  take(now: number): void;
  setRate(perSecond: number, now: number): void;
}

/** Seconds of refill that the bucket can hold in addition to one token. */
const BURST_S = 0.25;

/**
 * Creates a bucket that initially holds one token, less those already `taken`.
 *
 * @example
 * ```ts
 * const bucket = createTokenBucket(5.4, clock.now());
 * if (bucket.hasToken(clock.now())) bucket.take(clock.now());
 * ```
 */
export function createTokenBucket(
  perSecond: number,
  startedAt: number,
  taken = 0,
): TokenBucket {
  let rate = perSecond;
  let tokens = 1 - taken;
  let refilledAt = startedAt;

  const refill = (now: number): void => {
    const earned = ((now - refilledAt) / 1_000) * rate;
    tokens = Math.min(1 + rate * BURST_S, tokens + earned);
    refilledAt = now;
  };

  return {
    hasToken(now) {
      refill(now);
      return tokens >= 1;
    },
    take(now) {
      refill(now);
      tokens--;
    },
    setRate(next, now) {
      refill(now);
      rate = next;
      refill(now);
    },
  };
}
