/** A mean that follows changes: exponentially weighted once it is full. */
export interface MovingMean {
  /** Number of values that it is based on, up to the maximum. */
  samples: number;
  /** 0 without values. */
  mean: number;
}

/**
 * A value counts as at most this many times the mean. Times vary by half and
 * other work triples them, so that longer ones are faults of the server.
 */
const MAX_VALUE_RATIO = 6;
/** Number of values from which on that limit applies. */
const MIN_SAMPLES_TO_LIMIT = 3;

/** Creates a mean without values. */
export function createMovingMean(): MovingMean {
  return {samples: 0, mean: 0};
}

/**
 * Adds a value. From `maxSamples` values on, each has a weight of
 * `1 / maxSamples`.
 *
 * @example
 * ```ts
 * addToMean(workMs, 162, 200);
 * ```
 */
export function addToMean(
  target: MovingMean,
  value: number,
  maxSamples: number,
): void {
  const isLimited = target.samples >= MIN_SAMPLES_TO_LIMIT;
  const maxValue = isLimited ? target.mean * MAX_VALUE_RATIO : Infinity;
  target.samples = Math.min(maxSamples, target.samples + 1);
  target.mean += (Math.min(value, maxValue) - target.mean) / target.samples;
}

/**
 * The mean, drawn towards `prior` while there are few values: the prior counts
 * as `priorSamples` values.
 */
export function shrunkMean(
  {samples, mean}: MovingMean,
  prior: number,
  priorSamples: number,
): number {
  return (samples * mean + priorSamples * prior) / (samples + priorSamples);
}
