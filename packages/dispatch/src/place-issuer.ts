import type {Clock} from '@banyandrum/base/clock.js';
import {
  failureShareOf,
  noteAnswer,
  noteLoss,
  suspect,
  type Backend,
} from './backend.js';
import type {Backends} from './backends.js';
import type {Owner} from './owners.js';
import type {PlaceAsk, PlaceEnd, PlaceReply} from './places.js';

/** Hands out the slots of all servers, for all routers, at one place. */
export interface PlaceIssuer {
  /**
   * Answers through `reply`, at once or when a place is free. The result
   * takes back the ask, or gives back the place that was granted.
   */
  ask(
    ask: PlaceAsk,
    reply: (reply: PlaceReply) => void,
  ): (how: PlaceEnd, tookMs: number) => void;
  /** Owners or servers changed: looks at all that wait. */
  review(): void;
  /** Answers all that wait with `unavailable`. */
  close(): void;
  waiting(): number;
}

/** What issuing places needs. */
export interface PlaceIssuerConfig {
  readonly backends: Backends;
  readonly clock: Clock;
  ownerOf(service: string, key: number): Owner;
}

interface Waiter {
  readonly ask: PlaceAsk;
  readonly reply: (reply: PlaceReply) => void;
  /** Monotonic time at which its answer comes too late, in ms. */
  readonly endsAt: number;
  server: string | null;
  isOver: boolean;
}

/** Before anything was measured, in ms. */
const DEFAULT_SERVICE_MS = 200;
const COLD_FACTOR = 2;
/**
 * How much quicker a server of another data centre must be: bytes between
 * data centres cost more than what a slightly quicker one gains.
 */
const REMOTE_FACTOR = 1.4;
/** A server that fails this share of its requests is a last resort. */
const FAILING_SHARE = 0.5;
/** A request that would wait for so many of its service times is refused. */
const LATE_FACTOR = 1.1;
/** A caller that is refused comes back after this time, in ms. */
const RETRY_AFTER_MS = 200;
/** Waiting requests are looked at this often in any case, in ms. */
const REVIEW_MS = 40;

/**
 * Counts each server's slots exactly, and lets requests wait here rather than
 * at the servers: by priority, and free to go wherever a key moves.
 *
 * @example
 * ```ts
 * const issuer = createPlaceIssuer(cfg);
 * const end = issuer.ask(ask, reply => use(reply));
 * end('answered', 180);
 * ```
 */
export function createPlaceIssuer(cfg: PlaceIssuerConfig): PlaceIssuer {
  const queues = new Map<string, Waiter[]>();
  let cancelReview: (() => void) | null = null;

  const queueOf = (service: string): Waiter[] => {
    const queue = queues.get(service) ?? [];
    queues.set(service, queue);
    return queue;
  };

  const finish = (waiter: Waiter, reply: PlaceReply): void => {
    waiter.isOver = true;
    waiter.reply(reply);
  };

  const grant = (waiter: Waiter, backend: Backend): void => {
    waiter.server = backend.info.id;
    backend.placed++;
    finish(waiter, {kind: 'granted', server: backend.info.id});
  };

  const tryNow = (waiter: Waiter): boolean => {
    const backend = findFree(cfg, waiter.ask);
    if (backend === null) return false;
    grant(waiter, backend);
    return true;
  };

  const serve = (service: string): void => {
    const queue = queues.get(service);
    if (queue === undefined || queue.length === 0) return;
    const now = cfg.clock.now();
    const left = queue.filter(waiter => {
      if (waiter.isOver) return false;
      if (tryNow(waiter)) return false;
      if (waiter.endsAt > now) return true;
      finish(waiter, refusal());
      return false;
    });
    queues.set(service, left);
  };

  const scheduleReview = (): void => {
    if (cancelReview !== null) return;
    cancelReview = cfg.clock.after(REVIEW_MS, () => {
      cancelReview = null;
      review();
    });
  };

  const review = (): void => {
    for (const service of queues.keys()) serve(service);
    const isWaiting = [...queues.values()].some(({length}) => length > 0);
    if (isWaiting) scheduleReview();
  };

  const enqueue = (waiter: Waiter): void => {
    const {service, priority} = waiter.ask;
    const queue = queueOf(service);
    const at = queue.findIndex(other => other.ask.priority > priority);
    if (at < 0) queue.push(waiter);
    else queue.splice(at, 0, waiter);
    scheduleReview();
  };

  return {
    ask(ask, reply) {
      const serviceMs = expectedMs(cfg, ask);
      const endsAt = cfg.clock.now() + ask.leftMs - serviceMs * LATE_FACTOR;
      const waiter: Waiter = {ask, reply, endsAt, server: null, isOver: false};
      const queue = queueOf(ask.service);
      const isFirst = !queue.some(other => isAhead(other, waiter));
      if (!(isFirst && tryNow(waiter))) {
        if (isHopeless(cfg, queue, ask, serviceMs)) finish(waiter, refusal());
        else enqueue(waiter);
      }
      return (how, tookMs) => {
        waiter.isOver = true;
        if (waiter.server === null) return;
        const backend = cfg.backends.get(waiter.server);
        waiter.server = null;
        if (backend !== undefined) takeBack(cfg, backend, how, tookMs);
        serve(ask.service);
      };
    },
    review,
    close() {
      cancelReview?.();
      cancelReview = null;
      for (const queue of queues.values()) {
        for (const waiter of queue) {
          if (!waiter.isOver) finish(waiter, {kind: 'unavailable'});
        }
      }
      queues.clear();
    },
    waiting() {
      let count = 0;
      for (const queue of queues.values()) count += queue.length;
      return count;
    },
  };
}

function refusal(): PlaceReply {
  return {kind: 'refused', retryAfterMs: RETRY_AFTER_MS};
}

/** Whether another that waits must be served first. */
function isAhead(other: Waiter, {ask}: Waiter): boolean {
  if (other.isOver) return false;
  // Requests for different keys don't wait for the same server.
  if (ask.key !== null) return other.ask.key === ask.key;
  return other.ask.priority <= ask.priority;
}

function takeBack(
  {clock}: PlaceIssuerConfig,
  backend: Backend,
  how: PlaceEnd,
  tookMs: number,
): void {
  backend.placed = Math.max(0, backend.placed - 1);
  const now = clock.now();
  if (how === 'answered' || how === 'failed') {
    noteAnswer(backend, now, tookMs, 0, how === 'failed', null);
  } else if (how === 'lost') {
    noteLoss(backend, now);
  } else if (how === 'unreached') {
    suspect(backend, now);
  }
}

function findFree(cfg: PlaceIssuerConfig, ask: PlaceAsk): Backend | null {
  return ask.key === null ? findAny(cfg, ask) : findOwner(cfg, ask, ask.key);
}

function findOwner(
  {backends, clock, ownerOf}: PlaceIssuerConfig,
  {service}: PlaceAsk,
  key: number,
): Backend | null {
  const owner = ownerOf(service, key);
  if (owner.kind !== 'held') return null;
  const backend = backends.get(owner.server);
  if (backend === undefined || backend.isGone) return null;
  if (backend.suspectUntil > clock.now()) return null;
  return backend.placed < backend.info.slots ? backend : null;
}

function findAny(
  {backends, clock}: PlaceIssuerConfig,
  {service, excluded, dataCentre}: PlaceAsk,
): Backend | null {
  const now = clock.now();
  const usable = backends
    .ofService(service)
    .filter(({info, isGone}) => !info.isLeaving && !isGone);
  const fresh = usable.filter(({info}) => !excluded.includes(info.id));
  const sound = fresh.filter(
    backend =>
      backend.suspectUntil <= now &&
      failureShareOf(backend, now) < FAILING_SHARE,
  );
  const candidates = sound.length > 0 ? sound : fresh;
  let best: Backend | null = null;
  let bestMs = Infinity;
  for (const backend of candidates) {
    if (backend.placed >= backend.info.slots) continue;
    const ms = costOf(backend, dataCentre, now);
    if (ms >= bestMs) continue;
    best = backend;
    bestMs = ms;
  }
  return best;
}

function costOf(backend: Backend, dataCentre: string, now: number): number {
  const remote = backend.info.dataCentre === dataCentre ? 1 : REMOTE_FACTOR;
  const cold = backend.coldUntil > now ? COLD_FACTOR : 1;
  const failures = failureShareOf(backend, now);
  const serviceMs = backend.serviceMs || DEFAULT_SERVICE_MS;
  // A slot beside a running request is a little worse than an idle server.
  const crowd = 1 + (0.1 * backend.placed) / backend.info.slots;
  return (serviceMs * cold * remote * crowd) / (1 - failures) ** 2;
}

function expectedMs({backends}: PlaceIssuerConfig, ask: PlaceAsk): number {
  const known = backends
    .ofService(ask.service)
    .map(({serviceMs}) => serviceMs)
    .filter(ms => ms > 0);
  if (known.length === 0) return DEFAULT_SERVICE_MS;
  return known.reduce((sum, ms) => sum + ms, 0) / known.length;
}

/** Whether so many wait already that its answer would come too late. */
function isHopeless(
  {backends, ownerOf}: PlaceIssuerConfig,
  queue: readonly Waiter[],
  ask: PlaceAsk,
  serviceMs: number,
): boolean {
  const ahead = queue.filter(
    ({isOver, ask: other}) => !isOver && other.priority <= ask.priority,
  );
  if (ask.key === null) {
    const slots = backends
      .ofService(ask.service)
      .reduce((sum, {info}) => sum + info.slots, 0);
    return waitMs(ahead.length, slots, serviceMs) > ask.leftMs;
  }
  const owner = ownerOf(ask.service, ask.key);
  if (owner.kind !== 'held') return false;
  const backend = backends.get(owner.server);
  if (backend === undefined) return false;
  const same = ahead.filter(({ask: other}) => {
    const holder = ownerOf(other.service, other.key ?? 0);
    return holder.kind === 'held' && holder.server === owner.server;
  });
  const ownMs = backend.serviceMs || serviceMs;
  return waitMs(same.length, backend.info.slots, ownMs) > ask.leftMs;
}

function waitMs(ahead: number, slots: number, serviceMs: number): number {
  return ((ahead + 1) / Math.max(1, slots)) * serviceMs + serviceMs;
}
