import type {MovingMean} from './moving-mean.js';

/** What other routers were last told of a row. */
export interface Published {
  /** Increases whenever the row has changed enough to be sent again. */
  revision: number;
  mean: number;
  samples: number;
  /** Monotonic time, in ms. */
  at: number;
}

/**
 * A row is sent again if its value has changed by this fraction. Smaller changes
 * are within the chance variation of a mean of 60 times that vary by half, and
 * would resend the rows of all servers each second.
 */
const MIN_CHANGE = 0.08;
/** A row is sent again if it is based on this many times the samples. */
const SAMPLES_RATIO = 2;

/** Creates the state of a row that was never sent. */
export function createPublished(): Published {
  return {revision: 0, mean: 0, samples: 0, at: -Infinity};
}

/** Whether the row should be sent again. */
export function hasNews(
  published: Published,
  {mean, samples}: MovingMean,
): boolean {
  if (samples >= published.samples * SAMPLES_RATIO) return true;
  return Math.abs(mean - published.mean) > published.mean * MIN_CHANGE;
}
