/** What a leader observed of a server over the last period. */
export interface ServerObservation {
  readonly slots: number;
  /** Slots kept busy on average. */
  readonly busy: number;
  /** Requests that the server refused because it was overloaded. */
  readonly shed: number;
}

/** Estimates how many of its slots a server can keep busy. */
export interface CapacityEstimate {
  /** Adds a period; returns the estimate, above 0 and at most `slots`. */
  update(observation: ServerObservation, periodMs: number): number;
}

/** Sets the estimate below the load at which the server refused requests. */
const BACK_OFF_FACTOR = 0.9;

/**
 * Share of the slots by which the estimate rises per second without refusals.
 */
const RECOVERY_PER_SECOND = 0.02;

/** Lower bound of the estimate, as a share of the slots. */
const MIN_SHARE = 0.1;

/**
 * Estimates a server's capacity from its behaviour instead of its reported
 * slots. The estimate falls below the load at which the server refuses
 * requests, and rises slowly while it refuses none.
 *
 * @example
 * ```ts
 * const estimate = createCapacityEstimate();
 * estimate.update({slots: 4, busy: 2, shed: 3}, 1000); // 1.8
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
