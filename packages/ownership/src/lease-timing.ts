import type {Timing} from '@banyandrum/config/rules.js';

/** Durations of the lease protocol in ms, derived from the configured rules. */
export interface LeaseTiming {
  readonly renewMs: number;
  readonly ttlMs: number;
  /**
   * Safety margin: drift between two clocks over one lease, plus the
   * granularity of timers and clock readings.
   */
  readonly marginMs: number;
  /** Timeout for the reply to a lease order. */
  readonly orderTimeoutMs: number;
  /** Maximum relative drift between two clocks. */
  readonly drift: number;
}

/** Granularity of timers and clock readings. */
const CLOCK_GRANULARITY_MS = 20;

/**
 * Order timeout as a fraction of the renewal period. Below 1, so that two
 * orders can be lost before the lease expires.
 */
const ORDER_TIMEOUT_FACTOR = 0.6;

const PPM = 1e6;

/**
 * Derives the lease durations from the configured rules.
 *
 * @example
 * ```ts
 * const {marginMs} = createLeaseTiming(rules.timing); // 40 for a 2000 ms lease
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
