/** A sum that decays exponentially. */
export interface DecayingSum {
  add(amount: number, now: number): void;
  /** The sum; approximates that of the last period. */
  value(now: number): number;
  /** Mean amount per ms, corrected for the time since the start. */
  perMs(now: number): number;
}

/** Minimum age by which a rate is computed, in ms. */
const MIN_AGE_MS = 100;

/** The decay is applied at this interval, in ms. */
const DECAY_STEP_MS = 10;

/**
 * Creates a sum that decays with the time constant `periodMs`. Times are
 * monotonic, in ms.
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
    if (now - at < DECAY_STEP_MS) return sum;
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
