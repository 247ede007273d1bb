import type {FairTurns} from './fair-turns.js';
import {
  ACCEPTED_SERVICE_TIMES,
  capacityFor,
  SLACK_SHARE,
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
  const maxMs = maxWaitMs(cfg, queue, waiter, serviceMs);
  return waitMs > Math.min(maxMs, expiresAt - requestedAt);
}

function maxWaitMs(
  {slackTracker}: QueuePolicyConfig,
  {service}: WaitQueue,
  {priority, requestedAt, onTimeUntil}: Waiter,
  serviceMs: number,
): number {
  const slackMs = onTimeUntil - requestedAt;
  const acceptedMs = serviceMs * ACCEPTED_SERVICE_TIMES;
  if (slackMs <= 0) return acceptedMs;
  const maxMs = slackTracker.lowestMs(service, priority, slackMs);
  return Math.max(acceptedMs, maxMs * SLACK_SHARE);
}
