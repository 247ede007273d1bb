/** Recent service times of one server at one level of precedence. */
export interface ServiceTimes {
  /** Records a complete answer after `ms`. */
  record(ms: number): void;
  /** Records a request that ended without an answer after `ms`. */
  recordCut(ms: number): void;
  /** Mean in ms; 0 before the first answer. */
  mean(): number;
  /** Nearly all answers take longer than this, in ms. */
  low(): number;
}

const MEAN_WEIGHT = 0.1;
const LOW_FALL_WEIGHT = 0.3;
const LOW_RISE_WEIGHT = 0.01;

/**
 * Creates an empty record. Newer answers have more weight.
 *
 * @example
 * ```ts
 * const times = createServiceTimes();
 * times.record(40);
 * ```
 */
export function createServiceTimes(): ServiceTimes {
  let mean = 0;
  let low = 0;
  let hasAny = false;
  return {
    record(ms) {
      if (!hasAny) {
        hasAny = true;
        mean = ms;
        low = ms;
        return;
      }
      mean += (ms - mean) * MEAN_WEIGHT;
      low += (ms - low) * (ms < low ? LOW_FALL_WEIGHT : LOW_RISE_WEIGHT);
    },
    recordCut(ms) {
      // The service time was at least `ms`, so it can only raise the mean.
      if (ms > mean) mean += (ms - mean) * MEAN_WEIGHT;
    },
    mean: () => mean,
    low: () => low,
  };
}
