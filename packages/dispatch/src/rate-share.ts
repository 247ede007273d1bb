/**
 * One router's share of a rate limit while no leader coordinates the routers.
 */
export interface RateShare {
  /**
   * Takes a token at the monotonic time `now`, in ms; false if none is
   * available.
   */
  take(now: number, periodMs: number): boolean;
}

/** An unused token expires after this time, in ms. */
const TOKEN_TTL_MS = 1_000;

/**
 * Creates a share that issues one token per period, at a random phase. The
 * phase and the expiry keep many routers from sending to an idle server at
 * once.
 *
 * @example
 * ```ts
 * const share = createRateShare(Math.random);
 * if (share.take(clock.now(), 2_200)) send();
 * ```
 */
export function createRateShare(random: () => number): RateShare {
  let dueAt: number | null = null;
  return {
    take(now, periodMs) {
      if (dueAt === null || dueAt > now + periodMs) {
        dueAt = now + random() * periodMs;
      }
      if (dueAt > now) return false;
      const periods = Math.floor((now - dueAt) / periodMs);
      const newestAt = dueAt + periods * periodMs;
      dueAt = newestAt + periodMs;
      return now - newestAt <= TOKEN_TTL_MS;
    },
  };
}
