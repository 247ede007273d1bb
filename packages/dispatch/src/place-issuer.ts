import {noteAnswer, noteLoss, suspect, type Backend} from './backend.js';
import {createCapacities} from './capacities.js';
import {findFree, type PlaceIssuerConfig} from './free-server.js';
import {
  countAhead,
  countIn,
  join,
  leave,
  NO_HOLDER,
  waitersIn,
  type Lane,
  type Waiter,
} from './lane.js';
import {createPatience} from './patience.js';
import {createLanes} from './place-lanes.js';
import {isTooMany, limitedWaitMs, overdueIn, pickNext} from './place-queue.js';
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
  const capacities = createCapacities(cfg);
  const patience = createPatience();
  const queue = {...cfg, capacities, patience};
  /** Suspected requests that wait or have a place. */
  const trials = new Set<string>();
  let cancelReview: (() => void) | null = null;

  const endTrial = ({ask: {trial}}: Waiter): void => {
    if (trial !== undefined) trials.delete(trial);
  };

  const finish = (waiter: Waiter, reply: PlaceReply): void => {
    leave(waiter);
    if (reply.kind !== 'granted') endTrial(waiter);
    waiter.reply(reply);
  };

  const refuse = (waiter: Waiter, why: string): void => {
    const {ask, askedAt, endsAt} = waiter;
    const now = cfg.clock.now();
    const lane = waiter.lane ?? lanes.of(ask);
    cfg.emit('place-refused', {
      ...{id: ask.id, service: ask.service, key: ask.key, why},
      waitedMs: Math.round(now - askedAt),
      leftMs: Math.round(endsAt - now),
      waiting: countIn(lane),
      serviceMs: Math.round(capacities.of(ask.service).serviceMs),
    });
    finish(waiter, {
      kind: 'refused',
      retryAfterMs: Math.max(RETRY_AFTER_MS, limitedWaitMs(queue, lane)),
      isUnheld: lane.holder === NO_HOLDER,
    });
  };

  /** Of a trial that isn't made; another one of its kind may be under way. */
  const turnAway = (waiter: Waiter, why: string): (() => void) => {
    const {id, service, key, trial} = waiter.ask;
    cfg.emit('place-refused', {id, service, key, why, trial});
    waiter.reply({
      kind: 'refused',
      retryAfterMs: RETRY_AFTER_MS,
      isUnheld: false,
    });
    return () => undefined;
  };

  const grant = (waiter: Waiter, backend: Backend): void => {
    waiter.server = backend.info.id;
    waiter.grantedAt = cfg.clock.now();
    backend.placed++;
    cfg.limits.takeToken(backend.info.id);
    if (waiter.ask.trial !== undefined) backend.hasTrial = true;
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
        refuse(waiter, 'waited-too-long');
        continue;
      }
      if (tryNow(waiter)) continue;
      // What doesn't help this one helps the others neither, but for those
      // that were at some of the servers already, and trials.
      const {excluded, trial} = waiter.ask;
      const isSpecial = lane.holder === null && excluded.length > 0;
      if (!isSpecial && trial === undefined) return;
      passedOver.add(waiter);
    }
  };

  const refuseLate = (lane: Lane): void => {
    const now = cfg.clock.now();
    for (const waiter of waitersIn(lane)) {
      if (waiter.endsAt <= now) refuse(waiter, 'waited-too-long');
    }
    for (const waiter of overdueIn(lane, now)) refuse(waiter, 'overdue');
  };

  const scheduleReview = (): void => {
    if (cancelReview !== null) return;
    cancelReview = cfg.clock.after(REVIEW_MS, () => {
      cancelReview = null;
      lookAtAll();
    });
  };

  const lookAtAll = (): void => {
    let isWaiting = false;
    for (const lane of lanes.all()) {
      refuseLate(lane);
      serve(lane);
      isWaiting ||= countIn(lane) > 0;
    }
    if (isWaiting) scheduleReview();
  };

  const enqueue = (lane: Lane, waiter: Waiter): void => {
    if (isTooMany(queue, lane, waiter)) return refuse(waiter, 'too-many-wait');
    join(lane, waiter);
    scheduleReview();
    // A trial ahead of it may wait for a server without another one.
    if (trials.size > 0) serve(lane);
  };

  return {
    ask(ask, reply) {
      const now = cfg.clock.now();
      const {serviceMs} = capacities.of(ask.service);
      const {priority} = ask;
      // By what a caller of its kind could bear at first. By what is left to
      // this one, those that come back would push out those that were let in.
      const patienceMs = ask.askedMs + ask.aimLeftMs - serviceMs;
      if (patienceMs > 0) patience.note(ask.service, priority, patienceMs);
      const waiter: Waiter = {
        ask,
        priority,
        reply,
        askedAt: now,
        turnAt: now + patienceMs,
        aimAt: now + ask.aimLeftMs - serviceMs,
        endsAt: now + ask.leftMs - serviceMs * TIMELY_FACTOR,
        grantedAt: 0,
        server: null,
        lane: null,
      };
      const lane = lanes.of(ask);
      if (ask.trial !== undefined) {
        const standing = cfg.suspects.standingOf(ask.trial);
        if (standing === 'quarantined') return turnAway(waiter, standing);
        if (trials.has(ask.trial)) return turnAway(waiter, 'trial-runs');
        trials.add(ask.trial);
      }
      if (waiter.endsAt < now) refuse(waiter, 'no-time');
      else if (countAhead(lane, waiter) > 0 || !tryNow(waiter)) {
        enqueue(lane, waiter);
      }
      return (how, tookMs) => {
        const {server} = waiter;
        waiter.server = null;
        if (server !== null || waiter.lane !== null) endTrial(waiter);
        if (server === null) return leave(waiter);
        const backend = cfg.backends.get(server);
        if (backend !== undefined) takeBack(cfg, backend, waiter, how, tookMs);
        for (const free of lanes.at(ask.service, server)) serve(free);
      };
    },
    review() {
      capacities.forget();
      lanes.sort();
      lookAtAll();
    },
    close() {
      cancelReview?.();
      cancelReview = null;
      for (const lane of lanes.all()) {
        for (const waiter of waitersIn(lane)) {
          finish(waiter, {kind: 'unavailable'});
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
      for (const lane of lanes.all()) count += countIn(lane);
      return count;
    },
  };
}

function keysOf(lane: Lane): readonly number[] {
  return waitersIn(lane).flatMap(({ask: {key}}) => (key === null ? [] : [key]));
}

function takeBack(
  {clock, suspects}: PlaceIssuerConfig,
  backend: Backend,
  {grantedAt, ask}: Waiter,
  how: PlaceEnd,
  tookMs: number,
): void {
  backend.placed = Math.max(0, backend.placed - 1);
  if (ask.trial !== undefined) backend.hasTrial = false;
  const now = clock.now();
  if (how === 'answered') suspects.noteAlive(backend.info.id, grantedAt);
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
