import type {FairTurns} from './fair-turns.js';
import {
  capacityFor,
  maxWaitMsFor,
  type QueuePolicyConfig,
} from './queue-policy.js';
import {countAhead, type Waiter, type WaitQueue} from './wait-queue.js';

/**
 * Whether a request would wait too long in a queue that is fair by caller and
 * key: behind the requests that are there, and behind those that will go before
 * it as their callers and keys take less. The most demanding ones are thus
 * refused first. All kinds of a service and priority have the same maximum
 * wait; if those with more slack could wait for longer, they would make the
 * queue too long for the others.
 *
 * @example
 * ```ts
 * if (exceedsFairWait(policyCfg, turns, queue, waiter)) refuse(waiter);
 * ```
 */
export function exceedsFairWait(
  cfg: QueuePolicyConfig,
  turns: FairTurns,
  queue: WaitQueue,
  waiter: Waiter,
): boolean {
  const {slots, serviceMs} = capacityFor(cfg, queue);
  const presentMs = (countAhead(queue, waiter) + 1) * serviceMs;
  const waitMs = turns.expectedWaitMs(waiter, presentMs, slots || 1);
  const {requestedAt, expiresAt} = waiter;
  const maxMs = maxWaitMsFor(waiter, serviceMs, (priority, slackMs) =>
    cfg.slackTracker.lowestMs(queue.service, priority, slackMs),
  );
  return waitMs > Math.min(maxMs, expiresAt - requestedAt);
}
