/** What all routers together may send beyond the first of each request. */
export interface RetryAllowance {
  /** Repeats for each request. */
  readonly ratio: number;
  /** Repeats beyond that, in any window. */
  readonly slack: number;
}

/** A router's own share of the allowance, by service. */
export interface RetryBudget {
  /** A caller's request for the service came. */
  earn(service: string): void;
  /** Takes one repeat; false where none is left. */
  spend(service: string): boolean;
}

/**
 * Parts of the allowance that are used. Routers don't count each other's
 * repeats, and one that restarts begins with a full share again.
 */
const RATIO_USED = 0.85;
const SLACK_USED = 0.6;

/**
 * A bucket for each service, filled by its requests. In any window the
 * routers repeat at most their buckets' sizes plus what the window's requests
 * earned, which stays under the allowance without a message between them.
 *
 * @example
 * ```ts
 * const budget = createRetryBudget({ratio: 0.2, slack: 60}, () => 12);
 * if (budget.spend('holds')) sendAgain();
 * ```
 */
export function createRetryBudget(
  allowance: RetryAllowance,
  routers: () => number,
): RetryBudget {
  const tokens = new Map<string, number>();
  const share = (): number =>
    (allowance.slack * SLACK_USED) / Math.max(1, routers());
  // With many routers a share is less than one repeat: it must be saved up.
  const capacity = (): number => Math.max(1, share());
  const left = (service: string): number => tokens.get(service) ?? share();
  return {
    earn(service) {
      const earned = left(service) + allowance.ratio * RATIO_USED;
      tokens.set(service, Math.min(capacity(), earned));
    },
    spend(service) {
      if (left(service) < 1) return false;
      tokens.set(service, left(service) - 1);
      return true;
    },
  };
}
