/** What one server's answers of one level of precedence took of late. */
export interface ServiceTimes {
  /** One answer came whole after `ms`. */
  record(ms: number): void;
  /** One request ended without an answer after `ms`. */
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
 * Makes an empty record; newer answers weigh more.
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
  let any = false;
  return {
    record(ms) {
      if (!any) {
        any = true;
        mean = ms;
        low = ms;
        return;
      }
      mean += (ms - mean) * MEAN_WEIGHT;
      low += (ms - low) * (ms < low ? LOW_FALL_WEIGHT : LOW_RISE_WEIGHT);
    },
    recordCut(ms) {
      // It would have taken longer still, so it can only raise the mean.
      if (ms > mean) mean += (ms - mean) * MEAN_WEIGHT;
    },
    mean: () => mean,
    low: () => low,
  };
}
