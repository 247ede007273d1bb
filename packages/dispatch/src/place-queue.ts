import type {PlaceIssuerConfig} from './free-server.js';
import type {Lane} from './place-lanes.js';
import type {PlaceAsk, PlaceReply} from './places.js';
import {typicalServiceMs} from './server-cost.js';

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

/** The oldest may have waited for this share of its aim before newer go first. */
const PATIENT_SHARE = 0.3;

/** Whether nobody waits in the lane who goes before the ask. */
export function isFirst({waiters}: Lane, ask: PlaceAsk): boolean {
  return !waiters.some(
    ({isOver, ask: other}) => !isOver && other.priority <= ask.priority,
  );
}

/**
 * Who goes next: the more urgent first, then those whose answers can still be
 * worth most, then the others. Among equals the oldest go first; once those
 * have waited long, the newest do: with more requests than the servers can
 * serve, the oldest first means that every answer comes late. Null where all
 * have been passed over.
 */
export function pickNext(
  {waiters}: Lane,
  passedOver: ReadonlySet<Waiter>,
  now: number,
): Waiter | null {
  const isNewestFirst = waiters.some(
    ({askedAt, aimAt}) => now - askedAt > PATIENT_SHARE * (aimAt - askedAt),
  );
  let best: Waiter | null = null;
  for (const waiter of waiters) {
    if (waiter.isOver || passedOver.has(waiter)) continue;
    if (best === null || goesBefore(waiter, best, isNewestFirst, now)) {
      best = waiter;
    }
  }
  return best;
}

function goesBefore(
  a: Waiter,
  b: Waiter,
  isNewestFirst: boolean,
  now: number,
): boolean {
  if (a.ask.priority !== b.ask.priority) {
    return a.ask.priority < b.ask.priority;
  }
  const lateness = Number(a.aimAt < now) - Number(b.aimAt < now);
  if (lateness !== 0) return lateness < 0;
  return isNewestFirst ? a.askedAt >= b.askedAt : a.askedAt < b.askedAt;
}

/**
 * The oldest of equal urgency where more wait than can be served in time, to
 * be refused: told at once, its caller can come back while it still has time.
 */
export function findShed(
  cfg: PlaceIssuerConfig,
  lane: Lane,
  newest: Waiter,
): Waiter | null {
  const {ask} = newest;
  const rivals = lane.waiters.filter(
    ({ask: other}) => other.priority <= ask.priority,
  );
  const {slots, serviceMs} = capacityFor(cfg, lane);
  const lastWaitMs = (rivals.length / Math.max(1, slots)) * serviceMs;
  const mayWaitMs = Math.max(0, newest.endsAt - newest.askedAt);
  return lastWaitMs <= mayWaitMs ? null : (rivals[0] ?? null);
}

function capacityFor(
  {backends}: PlaceIssuerConfig,
  {service, holder}: Lane,
): {readonly slots: number; readonly serviceMs: number} {
  const serviceMs = typicalServiceMs(backends.ofService(service));
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
