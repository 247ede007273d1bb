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
} from './lane.js';
import type {SlackTracker} from './patience.js';
import type {ServerLimits} from './server-limits.js';

/**
 * A request is let in to wait where its turn should come within this share of
 * the time that it has until its answer is worth less. Servers' times stray by
 * half: with all of that time a twelfth of the answers came late under 1.8
 * times the load that servers can take; with 0.7, one in twenty more was
 * refused at four fifths of it.
 */
const SLACK_SHARE = 0.8;
/**
 * One whose aim has passed is let in only where its turn comes within this
 * share of a service time: it takes the place of one that is worth more.
 */
const LATE_WAIT_SHARE = 0.25;

/**
 * Who goes next: the more urgent first, then those whose answers can still be
 * worth most, then the others. Among equals by their turns: only so many are
 * let in as can be answered in time. Null where all have been passed over.
 */
export function nextWaiter(
  {levels: ranks}: WaitQueue,
  passedOver: ReadonlySet<Waiter>,
  now: number,
): Waiter | null {
  for (const rank of ranks) {
    const next = nextInLevel(rank, passedOver, now);
    if (next !== null) return next;
  }
  return null;
}

function nextInLevel(
  {waiters}: PriorityLevel,
  passedOver: ReadonlySet<Waiter>,
  now: number,
): Waiter | null {
  let late: Waiter | null = null;
  for (const waiter of waiters) {
    if (passedOver.has(waiter)) continue;
    if (waiter.onTimeUntil >= now) return waiter;
    late ??= waiter;
  }
  return late;
}

/** What deciding on who may wait needs. */
export interface QueuePolicyConfig {
  readonly backends: Backends;
  readonly capacities: CapacityCache;
  readonly slackTracker: SlackTracker;
  readonly limits: Pick<ServerLimits, 'limitOf'>;
}

/**
 * Whether so many wait already that its turn would come too late. Refused at
 * once, its caller can come back while it still has time; those that are let in
 * are answered while that is worth most.
 */
export function exceedsMaxWait(
  cfg: QueuePolicyConfig,
  lane: WaitQueue,
  waiter: Waiter,
): boolean {
  const {requestedAt: askedAt, expiresAt: endsAt} = waiter;
  const capacity = capacityFor(cfg, lane);
  const waitMs = estimatedWaitMs(capacity, countAhead(lane, waiter) + 1);
  const boundMs = maxWaitMsFor(cfg, lane, waiter, capacity.serviceMs);
  return waitMs > Math.min(boundMs, endsAt - askedAt);
}

/**
 * Estimated wait of a request added to the end of the lane, in ms; 0 unless a
 * limit reduces the lane's capacity.
 */
export function limitedWaitMs(cfg: QueuePolicyConfig, lane: WaitQueue): number {
  const capacity = capacityFor(cfg, lane);
  return capacity.isLimited
    ? estimatedWaitMs(capacity, queueLength(lane) + 1)
    : 0;
}

/** Time to process `count` requests at this capacity, in ms. */
function estimatedWaitMs({slots, serviceMs}: Capacity, count: number): number {
  return (count / (slots || 1)) * serviceMs;
}

/** For how long it is let wait, in ms. */
function maxWaitMsFor(
  {slackTracker: patience}: QueuePolicyConfig,
  {service}: WaitQueue,
  {priority, requestedAt: askedAt, onTimeUntil: aimAt}: Waiter,
  serviceMs: number,
): number {
  const slackMs = aimAt - askedAt;
  if (slackMs <= 0) return serviceMs * LATE_WAIT_SHARE * SLACK_SHARE;
  return patience.maxWaitMs(service, priority, slackMs) * SLACK_SHARE;
}

/**
 * Those that waited in vain: their answers have lost most of their worth, and
 * others wait whose answers have not.
 */
export function findOverdue(
  {levels: ranks}: WaitQueue,
  now: number,
): readonly Waiter[] {
  const overdue: Waiter[] = [];
  let isAnyTimely = false;
  for (const {waiters} of ranks) {
    for (const waiter of waiters) {
      if (waiter.onTimeUntil < now) overdue.push(waiter);
      else isAnyTimely = true;
    }
  }
  return isAnyTimely ? overdue : [];
}

function capacityFor(
  {backends, capacities, limits}: QueuePolicyConfig,
  {service, owner: holder}: WaitQueue,
): Capacity {
  const all = capacities.of(service);
  if (holder === null) return all;
  const backend = backends.get(holder);
  if (backend === undefined) return {slots: 1, serviceMs: 0, isLimited: false};
  return capacityOf({limits}, backend, all.serviceMs);
}
