/** A sum whose older parts fade. */
export interface DecayingSum {
  add(amount: number, now: number): void;
  /** The sum, as if nothing older than the period counted. */
  value(now: number): number;
  /** Mean amount a millisecond, right from the start on. */
  perMs(now: number): number;
}

/** Below this age a rate is counted as if over so long, in ms. */
const MIN_AGE_MS = 100;

/** Additions closer together than this fade as one, in ms. */
const GRAIN_MS = 10;

/**
 * Makes a sum that fades exponentially with `periodMs`. Times are monotonic,
 * in ms.
 *
 * @example
 * ```ts
 * const arrivals = createDecayingSum(10_000, clock.now());
 * arrivals.add(1, clock.now());
 * const perSecond = arrivals.perMs(clock.now()) * 1000;
 * ```
 */
export function createDecayingSum(
  periodMs: number,
  startedAt: number,
): DecayingSum {
  let sum = 0;
  let at = startedAt;

  const value = (now: number): number => {
    if (now - at < GRAIN_MS) return sum;
    sum *= Math.exp((at - now) / periodMs);
    at = now;
    return sum;
  };

  return {
    add(amount, now) {
      sum = value(now) + amount;
    },
    value,
    perMs(now) {
      const age = Math.max(MIN_AGE_MS, now - startedAt);
      return value(now) / (periodMs * (1 - Math.exp(-age / periodMs)));
    },
  };
}
