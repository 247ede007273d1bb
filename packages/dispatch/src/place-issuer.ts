import {noteAnswer, noteLoss, suspect, type Backend} from './backend.js';
import {
  expectedMs,
  findFree,
  holderOf,
  type PlaceIssuerConfig,
} from './free-server.js';
import {findShed, inOrder, isFirst, type Waiter} from './place-queue.js';
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

/**
 * A request is sent only with so many service times left: work that is given
 * up at its time limit has used up a slot for nothing, and under overload that
 * alone kept servers at half their goodput after the cause was gone.
 */
const TIMELY_FACTOR = 1.8;
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
