/** Limits retries to a fraction of the requests. */
export interface RetryBudget {
  /** Counts a first attempt. */
  deposit(): void;
  /** Takes one retry from the budget; `false` if none is left. */
  tryWithdraw(): boolean;
}

/** Maximum and initial number of tokens. */
const MAX_TOKENS = 10;

/**
 * Creates a token bucket that is filled by first attempts. If all requests fail,
 * retries would multiply the load during an overload. With the bucket, they add
 * at most `percent` to it.
 *
 * @example
 * ```ts
 * const budget = createRetryBudget(() => rules.limits.retryPercent);
 * budget.deposit();
 * if (budget.tryWithdraw()) await retry();
 * ```
 */
export function createRetryBudget(percent: () => number): RetryBudget {
  let tokens = MAX_TOKENS;
  return {
    deposit() {
      tokens = Math.min(MAX_TOKENS, tokens + percent() / 100);
    },
    tryWithdraw() {
      if (percent() <= 0 || tokens < 1) return false;
      tokens -= 1;
      return true;
    },
  };
}
