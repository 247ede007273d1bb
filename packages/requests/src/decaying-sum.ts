import type {Clock} from '@banyandrum/base/clock.js';

/** A sum whose older parts fade. */
export interface DecayingSum {
  add(amount: number): void;
  /** The sum, as if nothing older than the period counted. */
  value(): number;
  /** Mean amount a millisecond, right from the start on. */
  perMs(): number;
}

/** Below this age a rate is counted as if over so long, in ms. */
const MIN_AGE_MS = 100;

/**
 * Makes a sum that fades exponentially with `periodMs`.
 *
 * @example
 * ```ts
 * const arrivals = createDecayingSum(clock, 10_000);
 * arrivals.add(1);
 * const perSecond = arrivals.perMs() * 1000;
 * ```
 */
export function createDecayingSum(clock: Clock, periodMs: number): DecayingSum {
  const startedAt = clock.now();
  let sum = 0;
  let at = startedAt;

  const fade = (): number => {
    const now = clock.now();
    if (now > at) {
      sum *= Math.exp((at - now) / periodMs);
      at = now;
    }
    return sum;
  };

  return {
    add(amount) {
      sum = fade() + amount;
    },
    value: fade,
    perMs() {
      const age = Math.max(MIN_AGE_MS, clock.now() - startedAt);
      return fade() / (periodMs * (1 - Math.exp(-age / periodMs)));
    },
  };
}
