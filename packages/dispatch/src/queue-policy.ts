import type {Backends} from './backends.js';
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
import type {SlackTracker} from './slack-tracker.js';
import type {ServerLimits} from './server-limits.js';

/**
 * A request is queued only if its estimated wait is within this fraction of its
 * slack, the time for which it can wait and still meet its target latency. The
 * fraction is needed because service times vary by half: with the full slack,
 * one answer in 12 was late at 1.8 times the servers' capacity. With 0.7, one
 * more request in 20 was refused at 0.8 times the capacity.
 */
const SLACK_SHARE = 0.8;
/**
 * A request that can no longer meet its target latency is queued only if its
 * wait is within this fraction of a service time, as it takes capacity from
 * requests whose answers are worth more.
 */
const LATE_WAIT_SHARE = 0.25;

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
export interface QueuePolicyConfig {
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
  const maxMs = maxWaitMsFor(cfg, queue, waiter, capacity.serviceMs);
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

/** Maximum wait of the request, in ms. */
function maxWaitMsFor(
  {slackTracker}: QueuePolicyConfig,
  {service}: WaitQueue,
  {priority, requestedAt, onTimeUntil}: Waiter,
  serviceMs: number,
): number {
  const slackMs = onTimeUntil - requestedAt;
  if (slackMs <= 0) return serviceMs * LATE_WAIT_SHARE * SLACK_SHARE;
  return slackTracker.maxWaitMs(service, priority, slackMs) * SLACK_SHARE;
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

function capacityFor(
  {backends, capacities, limits}: QueuePolicyConfig,
  {service, owner}: WaitQueue,
): Capacity {
  const all = capacities.of(service);
  if (owner === null) return all;
  const backend = backends.get(owner);
  if (backend === undefined) return {slots: 1, serviceMs: 0, isLimited: false};
  return capacityOf({limits}, backend, all.serviceMs);
}
