/** Estimates how long messages of one stream were held up on their way. */
export interface DelayEstimator {
  /**
   * Returns how much longer a message took than the fastest recent one, in ms.
   * `sentAt` and `receivedAt` are of different monotonic clocks.
   */
  observe(sentAt: number, receivedAt: number): number;
}

/**
 * The fastest message of the last one to two periods counts, in ms: the two
 * clocks drift apart, and a suspended sender's stops.
 */
const PERIOD_MS = 15_000;

/**
 * Creates an estimator. Two clocks tell the time in transit only up to a
 * constant, so the fastest message is taken to have had no delay.
 *
 * @example
 * ```ts
 * const delay = createDelayEstimator();
 * const delayMs = delay.observe(message.sentAt, clock.now());
 * ```
 */
export function createDelayEstimator(): DelayEstimator {
  let periodStart = -Infinity;
  let smallest = Infinity;
  let previousSmallest = Infinity;
  return {
    observe(sentAt, receivedAt) {
      const offset = receivedAt - sentAt;
      if (receivedAt - periodStart >= PERIOD_MS) {
        periodStart = receivedAt;
        previousSmallest = smallest;
        smallest = Infinity;
      }
      smallest = Math.min(smallest, offset);
      return offset - Math.min(smallest, previousSmallest);
    },
  };
}
