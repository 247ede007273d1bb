/** Limit on the retries that all routers together may send. */
export interface RetryAllowance {
  /** Retries allowed per request. */
  readonly ratio: number;
  /** Additional retries allowed in any window. */
  readonly slack: number;
}

/** What a decision on a retry rests on, as it is logged. */
export interface RetryBasis {
  /** Retries that this router may still send at once, rounded. */
  readonly left: number;
  /** Number of routers by which the slack is divided. */
  readonly routers: number;
  /** Time since that number was last reported, in ms; -1 if it never was. */
  readonly routersAgeMs: number;
}

/** One router's share of the allowance, for each service. */
export interface RetryBudget {
  /** Credits a caller's request for the service. */
  deposit(service: string): void;
  /** Takes one retry from the budget; false if none is left. */
  tryWithdraw(service: string): boolean;
  /** The state of the service's budget. */
  basis(service: string): RetryBasis;
}

/** The number of routers that share the allowance. */
export interface RouterCountSource {
  current(): number;
  /** Time since the number was last reported, in ms; infinite if never. */
  ageMs(): number;
}

/**
 * Fractions of the allowance that are used. The rest is a margin, as routers
 * don't count each other's retries, and a restarted router has a full share
 * again.
 */
const RATIO_SAFETY_FACTOR = 0.85;
const SLACK_SAFETY_FACTOR = 0.6;

/**
 * Creates a budget with a token bucket for each service, filled by its
 * requests. In any window, routers retry at most the sum of their bucket sizes
 * plus the tokens from requests in that window. This keeps them within the
 * allowance without communication.
 *
 * @example
 * ```ts
 * const budget = createRetryBudget({ratio: 0.2, slack: 60}, routerCount);
 * if (budget.tryWithdraw('holds')) sendAgain();
 * ```
 */
export function createRetryBudget(
  allowance: RetryAllowance,
  routerCount: RouterCountSource,
): RetryBudget {
  const tokens = new Map<string, number>();
  const ownSlack = (): number =>
    (allowance.slack * SLACK_SAFETY_FACTOR) /
    Math.max(1, routerCount.current());
  // With many routers, a share is less than one retry and must accumulate.
  const maxBalance = (): number => Math.max(1, ownSlack());
  const balance = (service: string): number =>
    tokens.get(service) ?? ownSlack();
  return {
    deposit(service) {
      const earned = balance(service) + allowance.ratio * RATIO_SAFETY_FACTOR;
      tokens.set(service, Math.min(maxBalance(), earned));
    },
    tryWithdraw(service) {
      if (balance(service) < 1) return false;
      tokens.set(service, balance(service) - 1);
      return true;
    },
    basis(service) {
      const ageMs = routerCount.ageMs();
      return {
        left: Math.round(balance(service) * 100) / 100,
        routers: routerCount.current(),
        routersAgeMs: ageMs === Infinity ? -1 : Math.round(ageMs),
      };
    },
  };
}
