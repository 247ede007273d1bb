import {noteAnswer, noteLoss, suspect, type Backend} from './backend.js';
import {expectedMs, findFree, type PlaceIssuerConfig} from './free-server.js';
import {createLanes, NO_HOLDER, type Lane} from './place-lanes.js';
import {
  isFirst,
  isOverdue,
  isTooMany,
  pickNext,
  type Waiter,
} from './place-queue.js';
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
  const lanes = createLanes(cfg);
  let cancelReview: (() => void) | null = null;

  const finish = (waiter: Waiter, reply: PlaceReply): void => {
    waiter.isOver = true;
    waiter.reply(reply);
  };

  const refuse = (waiter: Waiter, why: string): void => {
    const {ask, askedAt, endsAt} = waiter;
    const now = cfg.clock.now();
    const lane = lanes.of(ask);
    cfg.emit('place-refused', {
      ...{id: ask.id, service: ask.service, key: ask.key, why},
      waitedMs: Math.round(now - askedAt),
      leftMs: Math.round(endsAt - now),
      waiting: lane.waiters.length,
      serviceMs: Math.round(expectedMs(cfg, ask.service)),
    });
    finish(waiter, {
      kind: 'refused',
      retryAfterMs: RETRY_AFTER_MS,
      isUnheld: lane.holder === NO_HOLDER,
    });
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

  const serve = (lane: Lane): void => {
    const now = cfg.clock.now();
    const passedOver = new Set<Waiter>();
    for (;;) {
      const waiter = pickNext(lane, passedOver, now);
      if (waiter === null) return;
      if (waiter.endsAt <= now) {
        remove(lane, waiter);
        refuse(waiter, 'waited-too-long');
        continue;
      }
      if (tryNow(waiter)) {
        remove(lane, waiter);
        continue;
      }
      // What doesn't help this one helps the others neither, but for those
      // that were at some of the servers already.
      if (lane.holder !== null || waiter.ask.excluded.length === 0) return;
      passedOver.add(waiter);
    }
  };

  const refuseLate = (lane: Lane): void => {
    const now = cfg.clock.now();
    for (const waiter of lane.waiters) {
      if (waiter.endsAt <= now) refuse(waiter, 'waited-too-long');
      else if (isOverdue(lane, waiter, now)) refuse(waiter, 'overdue');
    }
    lane.waiters = lane.waiters.filter(({isOver}) => !isOver);
  };

  const scheduleReview = (): void => {
    if (cancelReview !== null) return;
    cancelReview = cfg.clock.after(REVIEW_MS, () => {
      cancelReview = null;
      review();
    });
  };

  const review = (): void => {
    lanes.sort();
    let isWaiting = false;
    for (const lane of lanes.all()) {
      refuseLate(lane);
      serve(lane);
      isWaiting ||= lane.waiters.length > 0;
    }
    if (isWaiting) scheduleReview();
  };

  const enqueue = (lane: Lane, waiter: Waiter): void => {
    if (isTooMany(cfg, lane, waiter)) return refuse(waiter, 'too-many-wait');
    lane.waiters.push(waiter);
    scheduleReview();
  };

  return {
    ask(ask, reply) {
      const now = cfg.clock.now();
      const serviceMs = expectedMs(cfg, ask.service);
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
      const lane = lanes.of(ask);
      if (waiter.endsAt < now) refuse(waiter, 'no-time');
      else if (!isFirst(lane, ask) || !tryNow(waiter)) enqueue(lane, waiter);
      return (how, tookMs) => {
        const {server} = waiter;
        waiter.isOver = true;
        waiter.server = null;
        if (server === null) return remove(lanes.of(ask), waiter);
        const backend = cfg.backends.get(server);
        if (backend !== undefined) takeBack(cfg, backend, waiter, how, tookMs);
        for (const free of lanes.at(ask.service, server)) serve(free);
      };
    },
    review,
    close() {
      cancelReview?.();
      cancelReview = null;
      for (const {waiters} of lanes.all()) {
        for (const waiter of waiters) {
          if (!waiter.isOver) finish(waiter, {kind: 'unavailable'});
        }
      }
      lanes.clear();
    },
    waitingKeys: service =>
      [...lanes.all()].flatMap(lane =>
        lane.service === service ? keysOf(lane) : [],
      ),
    waiting() {
      let count = 0;
      for (const {waiters} of lanes.all()) count += waiters.length;
      return count;
    },
  };
}

function remove(lane: Lane, waiter: Waiter): void {
  const at = lane.waiters.indexOf(waiter);
  if (at >= 0) lane.waiters.splice(at, 1);
}

function keysOf({waiters}: Lane): readonly number[] {
  return waiters.flatMap(({ask: {key}}) => (key === null ? [] : [key]));
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
