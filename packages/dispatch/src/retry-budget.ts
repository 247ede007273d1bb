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
  deposit(service: string): void;
  /** Takes one repeat; false where none is left. */
  tryWithdraw(service: string): boolean;
}

/**
 * Parts of the allowance that are used. Routers don't count each other's
 * repeats, and one that restarts begins with a full share again.
 */
const RATIO_MARGIN = 0.85;
const SLACK_MARGIN = 0.6;

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
  routerCount: () => number,
): RetryBudget {
  const tokens = new Map<string, number>();
  const ownSlack = (): number =>
    (allowance.slack * SLACK_MARGIN) / Math.max(1, routerCount());
  // With many routers a share is less than one repeat: it must be saved up.
  const maxBalance = (): number => Math.max(1, ownSlack());
  const balance = (service: string): number =>
    tokens.get(service) ?? ownSlack();
  return {
    deposit(service) {
      const earned = balance(service) + allowance.ratio * RATIO_MARGIN;
      tokens.set(service, Math.min(maxBalance(), earned));
    },
    tryWithdraw(service) {
      if (balance(service) < 1) return false;
      tokens.set(service, balance(service) - 1);
      return true;
    },
  };
}
