import type {Clock} from '@banyandrum/base/clock.js';
import {
  failureShareOf,
  noteAnswer,
  noteLoss,
  suspect,
  type Backend,
} from './backend.js';
import type {Backends} from './backends.js';
import type {Emit} from './events.js';
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
  /** Keys of the service whose requests wait, one for each request. */
  waitingKeys(service: string): readonly number[];
}

/** What issuing places needs. */
export interface PlaceIssuerConfig {
  readonly backends: Backends;
  readonly clock: Clock;
  readonly emit: Emit;
  ownerOf(service: string, key: number): Owner;
}

interface Waiter {
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

/** Before anything was measured, in ms. */
const DEFAULT_SERVICE_MS = 200;
const COLD_FACTOR = 2;
/**
 * How much quicker a server of another data centre must be: bytes between
 * data centres cost more than what a slightly quicker one gains.
 */
const REMOTE_FACTOR = 2.2;
/** A server that fails this share of its requests is a last resort. */
const FAILING_SHARE = 0.5;
/**
 * A request is sent only with so many service times left: work that is given
 * up at its time limit has used up a slot for nothing, and under overload that
 * alone kept servers at half their goodput after the cause was gone.
 */
const TIMELY_FACTOR = 1.8;
/** The oldest may have waited for this share of its aim before newer go first. */
const PATIENT_SHARE = 0.3;
/** A server that was never asked is tried before others: nobody knows it. */
const UNKNOWN_FACTOR = 0.15;
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

  const refuse = (waiter: Waiter, why: string): void => {
    const {ask, askedAt, endsAt} = waiter;
    const now = cfg.clock.now();
    cfg.emit('place-refused', {
      ...{id: ask.id, service: ask.service, key: ask.key, why},
      waitedMs: Math.round(now - askedAt),
      leftMs: Math.round(endsAt - now),
      waiting: queues.get(ask.service)?.length ?? 0,
      serviceMs: Math.round(expectedMs(cfg, ask)),
    });
    finish(waiter, {kind: 'refused', retryAfterMs: RETRY_AFTER_MS});
  };

  const grant = (waiter: Waiter, backend: Backend): void => {
    waiter.server = backend.info.id;
    waiter.grantedAt = cfg.clock.now();
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
    const full = new Set<string>();
    const left = inOrder(queue, now).filter(waiter => {
      if (waiter.isOver) return false;
      if (waiter.endsAt <= now) {
        refuse(waiter, 'waited-too-long');
        return false;
      }
      return !tryOnce(waiter, full);
    });
    queues.set(service, left);
  };

  /** Servers that were found full once are not looked at again. */
  const tryOnce = (waiter: Waiter, full: Set<string>): boolean => {
    const {ask} = waiter;
    const at = ask.key === null ? '' : holderOf(cfg, ask);
    if (at === null || (full.has(at) && ask.excluded.length === 0))
      return false;
    if (tryNow(waiter)) return true;
    full.add(at);
    return false;
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
    const queue = queueOf(waiter.ask.service);
    queue.push(waiter);
    const shed = findShed(cfg, queue, waiter);
    if (shed !== null) refuse(shed, 'too-many-wait');
    scheduleReview();
  };

  return {
    ask(ask, reply) {
      const now = cfg.clock.now();
      const serviceMs = expectedMs(cfg, ask);
      const waiter: Waiter = {
        ask,
        reply,
        askedAt: now,
        aimAt: now + ask.aimLeftMs - serviceMs,
        endsAt: now + ask.leftMs - serviceMs * TIMELY_FACTOR,
        grantedAt: 0,
        server: null,
        isOver: false,
      };
      if (waiter.endsAt < now) refuse(waiter, 'no-time');
      else if (!isFirst(cfg, queueOf(ask.service), ask) || !tryNow(waiter)) {
        enqueue(waiter);
      }
      return (how, tookMs) => {
        waiter.isOver = true;
        if (waiter.server === null) return;
        const backend = cfg.backends.get(waiter.server);
        waiter.server = null;
        if (backend !== undefined) takeBack(cfg, backend, waiter, how, tookMs);
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
    waitingKeys: service =>
      (queues.get(service) ?? []).flatMap(({ask, isOver}) =>
        isOver || ask.key === null ? [] : [ask.key],
      ),
    waiting() {
      let count = 0;
      for (const queue of queues.values()) count += queue.length;
      return count;
    },
  };
}

/** The server that holds the ask's key; null while nobody does. */
function holderOf(
  {ownerOf}: PlaceIssuerConfig,
  {service, key}: PlaceAsk,
): string | null {
  const owner = ownerOf(service, key ?? 0);
  return owner.kind === 'held' ? owner.server : null;
}

/** Whether nobody waits for the same servers. */
function isFirst(
  cfg: PlaceIssuerConfig,
  queue: readonly Waiter[],
  ask: PlaceAsk,
): boolean {
  if (queue.length === 0) return true;
  return rivals(cfg, queue, ask).length === 0;
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

/**
 * The order of service: the more urgent first, then those whose answers can
 * still be worth most, then the others. Among equals the oldest go first; once
 * those have waited long, the newest do: with more requests than the servers
 * can serve, the oldest first means that every answer comes late.
 */
function inOrder(queue: readonly Waiter[], now: number): readonly Waiter[] {
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
function findShed(
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

function takeBack(
  {clock}: PlaceIssuerConfig,
  backend: Backend,
  {grantedAt}: Waiter,
  how: PlaceEnd,
  tookMs: number,
): void {
  backend.placed = Math.max(0, backend.placed - 1);
  const now = clock.now();
  if (how === 'answered' || how === 'failed') {
    noteAnswer(backend, now, tookMs, 0, how === 'failed', null);
  } else if (how === 'lost') {
    noteLoss(backend, now, tookMs);
    // It answered nobody since: without power it would go on like this.
    if (backend.lastAnswerAt < grantedAt) suspect(backend, now);
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
  return hasSlot(backend) ? backend : null;
}

/** One that was passed over shows first with one request that it's back. */
function hasSlot({placed, suspectMs, info}: Backend): boolean {
  return placed < (suspectMs > 0 ? 1 : info.slots);
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
    if (!hasSlot(backend)) continue;
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
  const isUnknown = backend.lastAnswerAt === -Infinity && backend.placed === 0;
  // Wherever it is: one request is worth knowing it.
  if (isUnknown) return DEFAULT_SERVICE_MS * UNKNOWN_FACTOR;
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
