import type {Backends} from './backends.js';
import {capacityOf, type Capacities, type Capacity} from './capacities.js';
import {
  countAhead,
  countIn,
  type Lane,
  type Rank,
  type Waiter,
} from './lane.js';
import type {Patience} from './patience.js';
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
const LATE_SHARE = 0.25;

/**
 * Who goes next: the more urgent first, then those whose answers can still be
 * worth most, then the others. Among equals by their turns: only so many are
 * let in as can be answered in time. Null where all have been passed over.
 */
export function pickNext(
  {ranks}: Lane,
  passedOver: ReadonlySet<Waiter>,
  now: number,
): Waiter | null {
  for (const rank of ranks) {
    const next = pickOf(rank, passedOver, now);
    if (next !== null) return next;
  }
  return null;
}

function pickOf(
  {waiters}: Rank,
  passedOver: ReadonlySet<Waiter>,
  now: number,
): Waiter | null {
  let late: Waiter | null = null;
  for (const waiter of waiters) {
    if (passedOver.has(waiter)) continue;
    if (waiter.aimAt >= now) return waiter;
    late ??= waiter;
  }
  return late;
}

/** What deciding on who may wait needs. */
export interface QueueConfig {
  readonly backends: Backends;
  readonly capacities: Capacities;
  readonly patience: Patience;
  readonly limits: Pick<ServerLimits, 'limitOf'>;
}

/**
 * Whether so many wait already that its turn would come too late. Refused at
 * once, its caller can come back while it still has time; those that are let in
 * are answered while that is worth most.
 */
export function isTooMany(
  cfg: QueueConfig,
  lane: Lane,
  waiter: Waiter,
): boolean {
  const {askedAt, endsAt} = waiter;
  const capacity = capacityFor(cfg, lane);
  const waitMs = waitMsOf(capacity, countAhead(lane, waiter) + 1);
  const boundMs = boundOf(cfg, lane, waiter, capacity.serviceMs);
  return waitMs > Math.min(boundMs, endsAt - askedAt);
}

/**
 * Estimated wait of a request added to the end of the lane, in ms; 0 unless a
 * limit reduces the lane's capacity.
 */
export function limitedWaitMs(cfg: QueueConfig, lane: Lane): number {
  const capacity = capacityFor(cfg, lane);
  return capacity.isLimited ? waitMsOf(capacity, countIn(lane) + 1) : 0;
}

/** Time to process `count` requests at this capacity, in ms. */
function waitMsOf({slots, serviceMs}: Capacity, count: number): number {
  return (count / (slots || 1)) * serviceMs;
}

/** For how long it is let wait, in ms. */
function boundOf(
  {patience}: QueueConfig,
  {service}: Lane,
  {priority, askedAt, aimAt}: Waiter,
  serviceMs: number,
): number {
  const slackMs = aimAt - askedAt;
  if (slackMs <= 0) return serviceMs * LATE_SHARE * SLACK_SHARE;
  return patience.boundFor(service, priority, slackMs) * SLACK_SHARE;
}

/**
 * Those that waited in vain: their answers have lost most of their worth, and
 * others wait whose answers have not.
 */
export function overdueIn({ranks}: Lane, now: number): readonly Waiter[] {
  const overdue: Waiter[] = [];
  let isAnyTimely = false;
  for (const {waiters} of ranks) {
    for (const waiter of waiters) {
      if (waiter.aimAt < now) overdue.push(waiter);
      else isAnyTimely = true;
    }
  }
  return isAnyTimely ? overdue : [];
}

function capacityFor(
  {backends, capacities, limits}: QueueConfig,
  {service, holder}: Lane,
): Capacity {
  const all = capacities.of(service);
  if (holder === null) return all;
  const backend = backends.get(holder);
  if (backend === undefined) return {slots: 1, serviceMs: 0, isLimited: false};
  return capacityOf({limits}, backend, all.serviceMs);
}
