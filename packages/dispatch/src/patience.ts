/** For how long requests that compete for the same servers can wait. */
export interface SlackTracker {
  /** One asks that can wait so long before its answer is worth less, in ms. */
  noteSlack(service: string, priority: number, slackMs: number): void;
  /**
   * For how long one should be let wait that can wait for `slackMs`: half way,
   * as a factor, from what the least patient can bear to that.
   */
  maxWaitMs(service: string, priority: number, slackMs: number): number;
}

/** Weights of a request that is less patient, or more, than the least so far. */
const DECREASE_WEIGHT = 0.1;
const INCREASE_WEIGHT = 0.003;

/**
 * Keeps what the least patient requests of each service and priority can bear.
 * A queue that one kind can bear is too long for another that is as urgent: by
 * its own time alone the patient kind was always let in, and the other refused.
 *
 * @example
 * ```ts
 * const patience = createPatience();
 * patience.note('rounds', 2, 760);
 * const waitMs = patience.boundFor('rounds', 2, 1_490);
 * ```
 */
export function createSlackTracker(): SlackTracker {
  const leastMs = new Map<string, number>();
  return {
    noteSlack(service, priority, slackMs) {
      const name = keyOf(service, priority);
      const least = leastMs.get(name) ?? slackMs;
      const weight = slackMs < least ? DECREASE_WEIGHT : INCREASE_WEIGHT;
      leastMs.set(name, least + weight * (slackMs - least));
    },
    maxWaitMs(service, priority, slackMs) {
      const least = leastMs.get(keyOf(service, priority)) ?? slackMs;
      return Math.min(slackMs, Math.sqrt(slackMs * least));
    },
  };
}

function keyOf(service: string, priority: number): string {
  return `${priority} ${service}`;
}
