import {build} from 'hdr-histogram-js';

/** A distribution of times in bounded memory. */
export interface Histogram {
  add(ms: number): void;
  /** The value below which this share lies, in ms. */
  at(share: number): number;
}

/** Times are kept in hundredths of a millisecond. */
const UNITS = 100;
const LONGEST_MS = 1e7;

/**
 * Makes a histogram with three digits.
 *
 * @example
 * ```ts
 * histogram.add(12.5);
 * histogram.at(0.99);
 * ```
 */
export function createHistogram(): Histogram {
  const histogram = build({
    numberOfSignificantValueDigits: 3,
    highestTrackableValue: LONGEST_MS * UNITS,
    autoResize: true,
  });
  return {
    add: ms => histogram.recordValue(Math.max(1, Math.round(ms * UNITS))),
    at: share => histogram.getValueAtPercentile(share * 100) / UNITS,
  };
}
