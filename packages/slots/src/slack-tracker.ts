/**
 * Tracks the slack of requests that compete for the same servers: the time for
 * which they can wait and still meet their target latency.
 */
export interface SlackTracker {
  /** Records the slack of a new request, in ms. */
  noteSlack(service: string, priority: number, slackMs: number): void;
  /**
   * Returns the maximum wait of a request with this slack, in ms: the geometric
   * mean of its slack and the lowest slack.
   */
  maxWaitMs(service: string, priority: number, slackMs: number): number;
  /** Returns the lowest slack, in ms; `slackMs` if it is lower. */
  lowestMs(service: string, priority: number, slackMs: number): number;
}

/**
 * Weights of a request with less slack than the lowest so far, and with more.
 */
const DECREASE_WEIGHT = 0.1;
const INCREASE_WEIGHT = 0.003;

/**
 * Creates a tracker of the lowest slack for each service and priority, as a
 * moving average that follows decreases faster than increases. If requests were
 * queued by their own slack alone, those with much slack would always be queued
 * and make the queue too long for those with little slack, which would be
 * refused.
 *
 * @example
 * ```ts
 * const slackTracker = createSlackTracker();
 * slackTracker.noteSlack('rounds', 2, 760);
 * const maxMs = slackTracker.maxWaitMs('rounds', 2, 1_490);
 * ```
 */
export function createSlackTracker(): SlackTracker {
  /** By service and priority. */
  const minSlackMs = new Map<string, Map<number, number>>();
  return {
    noteSlack(service, priority, slackMs) {
      let ofService = minSlackMs.get(service);
      if (ofService === undefined) {
        ofService = new Map();
        minSlackMs.set(service, ofService);
      }
      const minMs = ofService.get(priority) ?? slackMs;
      const weight = slackMs < minMs ? DECREASE_WEIGHT : INCREASE_WEIGHT;
      ofService.set(priority, minMs + weight * (slackMs - minMs));
    },
    maxWaitMs(service, priority, slackMs) {
      const minMs = minSlackMs.get(service)?.get(priority) ?? slackMs;
      return Math.min(slackMs, Math.sqrt(slackMs * minMs));
    },
    lowestMs(service, priority, slackMs) {
      const minMs = minSlackMs.get(service)?.get(priority) ?? slackMs;
      return Math.min(slackMs, minMs);
    },
  };
}
