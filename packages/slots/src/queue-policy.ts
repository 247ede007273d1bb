import type {Backends} from '@banyandrum/dispatch/backends.js';
import {
  capacityOf,
  type CapacityCache,
  type Capacity,
} from './capacity-cache.js';
import {
  countAhead,
  queueLength,
  type WaitQueue,
  type PriorityLevel,
  type Waiter,
} from './wait-queue.js';
import type {TimeSource} from './request-time.js';
import type {SlackTracker} from './slack-tracker.js';
import type {ServerLimits} from '@banyandrum/dispatch/server-limits.js';

/**
 * A longer wait is accepted only if its estimate is within this fraction of the
 * request's slack, the time for which it can wait and still meet its target
 * latency. The fraction is needed because service times vary by half: with the
 * full slack, one answer in 12 was late at 1.8 times the servers' capacity. With
 * 0.7, one more request in 20 was refused at 0.8 times the capacity.
 */
const SLACK_SHARE = 0.8;
/**
 * A wait of up to this many service times is always accepted. The load of a few
 * slots varies that much by chance: if each request that may be late is refused
 * then, servers are idle soon after, and callers come back to find them busy.
 */
const ACCEPTED_SERVICE_TIMES = 1;

/**
 * Returns the next request to serve: by priority, then those that can still
 * meet their target latency, then by `orderAt`. Null if all waiters are
 * skipped.
 */
export function nextWaiter(
  {levels}: WaitQueue,
  skipped: ReadonlySet<Waiter>,
  now: number,
): Waiter | null {
  for (const level of levels) {
    const next = nextInLevel(level, skipped, now);
    if (next !== null) return next;
  }
  return null;
}

function nextInLevel(
  {waiters}: PriorityLevel,
  skipped: ReadonlySet<Waiter>,
  now: number,
): Waiter | null {
  let overdue: Waiter | null = null;
  for (const waiter of waiters) {
    if (skipped.has(waiter)) continue;
    if (waiter.onTimeUntil >= now) return waiter;
    overdue ??= waiter;
  }
  return overdue;
}

/** Dependencies of the queue policy. */
export interface QueuePolicyConfig extends TimeSource {
  readonly backends: Backends;
  readonly capacities: CapacityCache;
  readonly slackTracker: SlackTracker;
  readonly limits: Pick<ServerLimits, 'limitOf'>;
}

/**
 * Whether the queue is so long that the request would wait too long. If it is
 * refused at once, its caller has time left for a retry, and queued requests
 * are answered within their target latency.
 */
export function exceedsMaxWait(
  cfg: QueuePolicyConfig,
  queue: WaitQueue,
  waiter: Waiter,
): boolean {
  const {requestedAt, expiresAt} = waiter;
  const capacity = capacityFor(cfg, queue);
  const waitMs = estimatedWaitMs(capacity, countAhead(queue, waiter) + 1);
  const {slackTracker} = cfg;
  const maxMs = maxWaitMsFor(waiter, capacity.serviceMs, (priority, slackMs) =>
    slackTracker.maxWaitMs(queue.service, priority, slackMs),
  );
  return waitMs > Math.min(maxMs, expiresAt - requestedAt);
}

/**
 * Estimated wait of a request added to the end of the queue, in ms; 0 unless a
 * limit reduces the capacity of its servers.
 */
export function limitedWaitMs(
  cfg: QueuePolicyConfig,
  queue: WaitQueue,
): number {
  const capacity = capacityFor(cfg, queue);
  return capacity.isLimited
    ? estimatedWaitMs(capacity, queueLength(queue) + 1)
    : 0;
}

/** Time to process `count` requests at this capacity, in ms. */
function estimatedWaitMs({slots, serviceMs}: Capacity, count: number): number {
  return (count / (slots || 1)) * serviceMs;
}

/**
 * Maximum wait of the request, in ms. `limitOf` returns the longest wait with
 * which a request of this priority and slack still meets its target latency.
 */
export function maxWaitMsFor(
  {priority, requestedAt, onTimeUntil}: Waiter,
  serviceMs: number,
  limitOf: (priority: number, slackMs: number) => number,
): number {
  const slackMs = onTimeUntil - requestedAt;
  const acceptedMs = serviceMs * ACCEPTED_SERVICE_TIMES;
  if (slackMs <= 0) return acceptedMs;
  return Math.max(acceptedMs, limitOf(priority, slackMs) * SLACK_SHARE);
}

/**
 * Returns the requests that can no longer meet their target latency, if other
 * requests in the queue still can.
 */
export function findOverdue(
  {levels}: WaitQueue,
  now: number,
): readonly Waiter[] {
  const overdue: Waiter[] = [];
  let isAnyOnTime = false;
  for (const {waiters} of levels) {
    for (const waiter of waiters) {
      if (waiter.onTimeUntil < now) overdue.push(waiter);
      else isAnyOnTime = true;
    }
  }
  return isAnyOnTime ? overdue : [];
}

/** Capacity of the servers that serve the queue. */
export function capacityFor(
  cfg: QueuePolicyConfig,
  queue: WaitQueue,
): Capacity {
  return capacityWithin(cfg, queue, cfg.capacities.of(queue.service));
}

/** Capacity of the servers that serve the queue, of `all` of its service. */
export function capacityWithin(
  cfg: QueuePolicyConfig,
  {owner}: WaitQueue,
  all: Capacity,
): Capacity {
  const {backends} = cfg;
  if (owner === null) return all;
  const backend = backends.get(owner);
  if (backend === undefined) return {slots: 1, serviceMs: 0, isLimited: false};
  return capacityOf(cfg, backend, all.serviceMs);
}
