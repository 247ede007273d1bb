/** What a leader saw of a server over the last period. */
export interface ServerObservation {
  readonly slots: number;
  /** Slots kept busy on average. */
  readonly busy: number;
  /** Requests that the server refused because it was overloaded. */
  readonly shed: number;
}

/** How many slots a server proved able to keep busy. */
export interface CapacityEstimate {
  /** Notes a period; yields the estimate, above 0 and at most `slots`. */
  update(sight: ServerObservation, periodMs: number): number;
}

/** Below the load at which it refused, so that it needn't refuse again. */
const BACK_OFF_FACTOR = 0.9;

/** Share of its slots that it gets back in a second without refusals. */
const RECOVERY_PER_SECOND = 0.02;

/** The least share of its slots that a server counts with. */
const MIN_SHARE = 0.1;

/**
 * Estimates a server's capacity from what it does, not from what it says: it
 * falls below the load at which the server refuses requests, and rises
 * slowly while it refuses none.
 *
 * @example
 * ```ts
 * const estimate = createCapacityEstimate();
 * estimate.note({slots: 4, busy: 2, shed: 3}, 1000); // 1.8
 * ```
 */
export function createCapacityEstimate(): CapacityEstimate {
  let share = 1;
  return {
    update({slots, busy, shed}, periodMs) {
      if (shed > 0) {
        const observed = (busy / slots) * BACK_OFF_FACTOR;
        share = Math.max(MIN_SHARE, Math.min(share, observed));
      } else {
        const seconds = periodMs / 1000;
        share = Math.min(1, share + RECOVERY_PER_SECOND * seconds);
      }
      return share * slots;
    },
  };
}
