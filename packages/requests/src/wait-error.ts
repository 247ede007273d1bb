/** Correction of estimated waiting times by recent errors. */
export interface WaitError {
  /** Records a wait that took `ratio` times the estimate with `factor()`. */
  observe(ratio: number): void;
  /** Factor by which to multiply an estimate. */
  factor(): number;
}

const RISE_WEIGHT = 0.05;
const FALL_WEIGHT = 0.01;
const MIN_FACTOR = 0.5;
const MAX_FACTOR = 8;

/** Limits the effect of a single outlier. */
const MAX_RATIO = 4;

/**
 * Creates the correction for one server and level. An estimate can't include
 * later requests that are served first: more urgent ones, or those of callers
 * with fewer requests. If it is too low, requests are queued and then refused
 * just before their deadline. So the factor rises faster than it falls.
 *
 * @example
 * ```ts
 * const error = createWaitError();
 * error.observe(waitedMs / expectedMs);
 * const expected = estimate * error.factor();
 * ```
 */
export function createWaitError(): WaitError {
  let factor = 1;
  return {
    observe(ratio) {
      const weight = ratio > 1 ? RISE_WEIGHT : FALL_WEIGHT;
      const change = 1 + weight * (Math.min(MAX_RATIO, ratio) - 1);
      factor = Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, factor * change));
    },
    factor: () => factor,
  };
}
