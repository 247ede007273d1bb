/** How far the estimates of waiting times were off of late. */
export interface WaitError {
  /** A wait took `ratio` times what had been estimated with `factor()`. */
  observe(ratio: number): void;
  /** What to multiply an estimate by. */
  factor(): number;
}

const RISE_WEIGHT = 0.05;
const FALL_WEIGHT = 0.01;
const MIN_FACTOR = 0.5;
const MAX_FACTOR = 8;

/** One odd wait must not count as many. */
const MAX_RATIO = 4;

/**
 * Makes the correction for one server and level. An estimate can't know who
 * will come and overtake: more urgent requests, quieter callers. Where it is
 * too low, requests are taken in, wait and are refused just before their
 * deadline; so the correction rises faster than it falls, and most of those
 * taken in are served.
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
