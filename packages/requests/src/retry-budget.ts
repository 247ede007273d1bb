/** Bounds retries to a share of the requests. */
export interface RetryBudget {
  /** Counts a first attempt. */
  earn(): void;
  /** Takes what one retry costs; `false` where nothing is left. */
  spend(): boolean;
}

/** Retries saved up at most; also what a quiet process starts with. */
const MAX_SAVED = 10;

/**
 * Makes a token bucket filled by first attempts. When everything fails, each
 * request retried would multiply the load just when it can be borne least;
 * with the bucket the whole load grows by `percent` at most.
 *
 * @example
 * ```ts
 * const budget = createRetryBudget(() => rules.limits.retryPercent);
 * budget.earn();
 * if (budget.spend()) await retry();
 * ```
 */
export function createRetryBudget(percent: () => number): RetryBudget {
  let saved = MAX_SAVED;
  return {
    earn() {
      saved = Math.min(MAX_SAVED, saved + percent() / 100);
    },
    spend() {
      if (percent() <= 0 || saved < 1) return false;
      saved -= 1;
      return true;
    },
  };
}
