import type {Timing} from '@banyandrum/config/rules.js';

/** Times of a lease, in ms, derived from the rules. */
export interface LeaseTiming {
  readonly renewMs: number;
  readonly ttlMs: number;
  /** Drift of two clocks over a lease, and the readings' coarseness. */
  readonly marginMs: number;
  /** How long an order may go without an answer. */
  readonly orderTimeoutMs: number;
  /** Greatest relative drift between two clocks. */
  readonly drift: number;
}

/** Covers timers and clock readings, which are no finer than this. */
const CLOCK_GRANULARITY_MS = 20;

/**
 * Shorter than the renewal period, so that two orders can be lost before the
 * lease ends.
 */
const ORDER_TIMEOUT_FACTOR = 0.6;

const PPM = 1e6;

/**
 * Derives the times of a lease from the rules.
 *
 * @example
 * ```ts
 * const {marginMs} = createLeaseTiming(rules.timing); // 40 of 2000 ms
 * ```
 */
export function createLeaseTiming(timing: Timing): LeaseTiming {
  const drift = timing.driftPpm / PPM;
  return {
    renewMs: timing.renewMs,
    ttlMs: timing.leaseMs,
    marginMs: timing.leaseMs * drift + CLOCK_GRANULARITY_MS,
    orderTimeoutMs: timing.renewMs * ORDER_TIMEOUT_FACTOR,
    drift,
  };
}
