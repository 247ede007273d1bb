import {expectedMs, type PlaceIssuerConfig} from './free-server.js';
import type {Lane} from './place-lanes.js';
import type {PlaceAsk, PlaceReply} from './places.js';

/** A request that waits for a place, or has one. */
export interface Waiter {
  readonly ask: PlaceAsk;
  readonly reply: (reply: PlaceReply) => void;
  readonly askedAt: number;
  /** Monotonic time from which its answer is worth less, in ms. */
  readonly aimAt: number;
  /** Monotonic time from which its answer would come too late, in ms. */
  readonly endsAt: number;
  grantedAt: number;
  server: string | null;
  isOver: boolean;
}

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

/** Whether nobody waits in the lane who goes before the ask. */
export function isFirst({waiters}: Lane, ask: PlaceAsk): boolean {
  return !waiters.some(waiter => isAhead(waiter, ask));
}

/** Whether the waiter goes before one that asks now. */
function isAhead({isOver, ask: {priority}}: Waiter, ask: PlaceAsk): boolean {
  return !isOver && priority <= ask.priority;
}

/**
 * Who goes next: the more urgent first, then those whose answers can still be
 * worth most, then the others. Among equals the oldest go first: only so many
 * are let in as can be answered in time. Null where all have been passed over.
 */
export function pickNext(
  {waiters}: Lane,
  passedOver: ReadonlySet<Waiter>,
  now: number,
): Waiter | null {
  let best: Waiter | null = null;
  for (const waiter of waiters) {
    if (waiter.isOver || passedOver.has(waiter)) continue;
    if (best === null || goesBefore(waiter, best, now)) {
      best = waiter;
    }
  }
  return best;
}

function goesBefore(a: Waiter, b: Waiter, now: number): boolean {
  if (a.ask.priority !== b.ask.priority) {
    return a.ask.priority < b.ask.priority;
  }
  const lateness = Number(a.aimAt < now) - Number(b.aimAt < now);
  if (lateness !== 0) return lateness < 0;
  return a.askedAt < b.askedAt;
}

/**
 * Whether so many wait already that its turn would come too late. Refused at
 * once, its caller can come back while it still has time; those that are let in
 * are answered while that is worth most.
 */
export function isTooMany(
  cfg: PlaceIssuerConfig,
  lane: Lane,
  {ask, askedAt, aimAt, endsAt}: Waiter,
): boolean {
  const ahead = lane.waiters.filter(waiter => isAhead(waiter, ask));
  const {slots, serviceMs} = capacityFor(cfg, lane);
  const waitMs = ((ahead.length + 1) / Math.max(1, slots)) * serviceMs;
  const slackMs = aimAt > askedAt ? aimAt - askedAt : serviceMs * LATE_SHARE;
  return waitMs > Math.min(slackMs * SLACK_SHARE, endsAt - askedAt);
}

/**
 * Whether it waited in vain: its answer has lost most of its worth, and others
 * wait whose answers have not.
 */
export function isOverdue(lane: Lane, {aimAt}: Waiter, now: number): boolean {
  if (aimAt >= now) return false;
  return lane.waiters.some(other => !other.isOver && other.aimAt >= now);
}

function capacityFor(
  cfg: PlaceIssuerConfig,
  {service, holder}: Lane,
): {readonly slots: number; readonly serviceMs: number} {
  const {backends} = cfg;
  const serviceMs = expectedMs(cfg, service);
  if (holder === null) {
    const slots = backends
      .ofService(service)
      .reduce((sum, {info}) => sum + (info.isLeaving ? 0 : info.slots), 0);
    return {slots, serviceMs};
  }
  const backend = backends.get(holder);
  if (backend === undefined) return {slots: 1, serviceMs: 0};
  return {
    slots: backend.info.slots,
    serviceMs: backend.serviceMs || serviceMs,
  };
}
