import {expectedMs, holderOf, type PlaceIssuerConfig} from './free-server.js';
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

/** The oldest may have waited for this share of its aim before newer go first. */
const PATIENT_SHARE = 0.3;

/** Whether nobody waits for the same servers. */
export function isFirst(
  cfg: PlaceIssuerConfig,
  queue: readonly Waiter[],
  ask: PlaceAsk,
): boolean {
  if (queue.length === 0) return true;
  return rivals(cfg, queue, ask).length === 0;
}

/**
 * The order of service: the more urgent first, then those whose answers can
 * still be worth most, then the others. Among equals the oldest go first; once
 * those have waited long, the newest do: with more requests than the servers
 * can serve, the oldest first means that every answer comes late.
 */
export function inOrder(
  queue: readonly Waiter[],
  now: number,
): readonly Waiter[] {
  const isNewestFirst = queue.some(
    ({isOver, askedAt, aimAt}) =>
      !isOver && now - askedAt > PATIENT_SHARE * (aimAt - askedAt),
  );
  const direction = isNewestFirst ? -1 : 1;
  return [...queue].sort((a, b) => {
    if (a.ask.priority !== b.ask.priority) {
      return a.ask.priority - b.ask.priority;
    }
    const lateness = Number(a.aimAt < now) - Number(b.aimAt < now);
    if (lateness !== 0) return lateness;
    return direction * (a.askedAt - b.askedAt);
  });
}

/**
 * The oldest of equal urgency where more wait than can be served in time, to
 * be refused: told at once, its caller can come back while it still has time.
 */
export function findShed(
  cfg: PlaceIssuerConfig,
  queue: readonly Waiter[],
  newest: Waiter,
): Waiter | null {
  const {ask} = newest;
  const waiting = rivals(cfg, queue, ask);
  const {slots, serviceMs} = capacityFor(cfg, ask);
  const lastWaitMs = (waiting.length / Math.max(1, slots)) * serviceMs;
  const mayWaitMs = Math.max(0, newest.endsAt - newest.askedAt);
  return lastWaitMs <= mayWaitMs ? null : (waiting[0] ?? null);
}

/** Those that wait for the same servers and are at least as urgent. */
function rivals(
  cfg: PlaceIssuerConfig,
  queue: readonly Waiter[],
  ask: PlaceAsk,
): readonly Waiter[] {
  const holder = ask.key === null ? null : holderOf(cfg, ask);
  return queue.filter(({isOver, ask: other}) => {
    if (isOver || other.priority > ask.priority) return false;
    return ask.key === null || holderOf(cfg, other) === holder;
  });
}

function capacityFor(
  cfg: PlaceIssuerConfig,
  ask: PlaceAsk,
): {readonly slots: number; readonly serviceMs: number} {
  const serviceMs = expectedMs(cfg, ask);
  if (ask.key === null) {
    const slots = cfg.backends
      .ofService(ask.service)
      .reduce((sum, {info}) => sum + (info.isLeaving ? 0 : info.slots), 0);
    return {slots, serviceMs};
  }
  const holder = holderOf(cfg, ask);
  const backend = holder === null ? undefined : cfg.backends.get(holder);
  if (backend === undefined) return {slots: 1, serviceMs: 0};
  return {
    slots: backend.info.slots,
    serviceMs: backend.serviceMs || serviceMs,
  };
}
