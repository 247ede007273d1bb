import {noteAnswer, noteLoss, eject, type Backend} from './backend.js';
import {createCapacityCache} from './capacity-cache.js';
import {findFreeServer, type SlotAllocatorConfig} from './free-server.js';
import {
  countAhead,
  queueLength,
  enqueue,
  removeWaiter,
  NO_OWNER,
  waitersIn,
  type WaitQueue,
  type Waiter,
} from './lane.js';
import {createSlackTracker} from './patience.js';
import {createWaitQueues} from './place-lanes.js';
import {
  exceedsMaxWait,
  limitedWaitMs,
  findOverdue,
  nextWaiter,
} from './place-queue.js';
import type {SlotRequest, SlotOutcome, SlotReply} from './slots.js';

/** Hands out the slots of all servers, for all routers, at one place. */
export interface SlotAllocator {
  /**
   * Answers through `reply`, at once or when a place is free. The result
   * takes back the ask, or gives back the place that was granted.
   */
  ask(
    ask: SlotRequest,
    reply: (reply: SlotReply) => void,
  ): (how: SlotOutcome, tookMs: number) => void;
  /** Owners or servers changed: looks at all that wait. */
  reevaluate(): void;
  /** Answers all that wait with `unavailable`. */
  close(): void;
  waitingCount(): number;
  /** Keys of the service whose requests wait, one for each request. */
  waitingKeys(service: string): readonly number[];
}

/**
 * A request is sent only with so many service times left: work that is given
 * up at its time limit has used up a slot for nothing, and under overload that
 * alone kept servers at half their goodput after the cause was gone.
 */
const MIN_SERVICE_TIMES_LEFT = 1.8;
/** A caller that is refused comes back after this time, in ms. */
const RETRY_AFTER_MS = 200;
/** Waiting requests are looked at this often in any case, in ms. */
const REEVALUATION_MS = 40;

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
export function createSlotAllocator(cfg: SlotAllocatorConfig): SlotAllocator {
  const queues = createWaitQueues(cfg);
  const capacities = createCapacityCache(cfg);
  const slackTracker = createSlackTracker();
  const admission = {...cfg, capacities, slackTracker: slackTracker};
  /** Suspected requests that wait or have a place. */
  const trials = new Set<string>();
  let cancelReevaluation: (() => void) | null = null;

  const endTrial = ({req: {trial}}: Waiter): void => {
    if (trial !== undefined) trials.delete(trial);
  };

  const settle = (waiter: Waiter, reply: SlotReply): void => {
    removeWaiter(waiter);
    if (reply.kind !== 'granted') endTrial(waiter);
    waiter.reply(reply);
  };

  const refuse = (waiter: Waiter, why: string): void => {
    const {req: ask, requestedAt: askedAt, expiresAt: endsAt} = waiter;
    const now = cfg.clock.now();
    const lane = waiter.queue ?? queues.queueFor(ask);
    cfg.emit('place-refused', {
      ...{id: ask.id, service: ask.service, key: ask.key, why},
      waitedMs: Math.round(now - askedAt),
      leftMs: Math.round(endsAt - now),
      waiting: queueLength(lane),
      serviceMs: Math.round(capacities.of(ask.service).serviceMs),
    });
    settle(waiter, {
      kind: 'refused',
      retryAfterMs: Math.max(RETRY_AFTER_MS, limitedWaitMs(admission, lane)),
      isUnheld: lane.owner === NO_OWNER,
    });
  };

  /** Of a trial that isn't made; another one of its kind may be under way. */
  const refuseTrial = (waiter: Waiter, why: string): (() => void) => {
    const {id, service, key, trial} = waiter.req;
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
    backend.allocatedSlots++;
    cfg.limits.takeToken(backend.info.id);
    if (waiter.req.trial !== undefined) backend.hasTrial = true;
    settle(waiter, {kind: 'granted', server: backend.info.id});
  };

  const tryGrant = (waiter: Waiter): boolean => {
    const backend = findFreeServer(cfg, waiter.req);
    if (backend === null) return false;
    grant(waiter, backend);
    return true;
  };

  const serveQueue = (lane: WaitQueue): void => {
    const now = cfg.clock.now();
    const passedOver = new Set<Waiter>();
    for (;;) {
      const waiter = nextWaiter(lane, passedOver, now);
      if (waiter === null) return;
      if (waiter.expiresAt <= now) {
        refuse(waiter, 'waited-too-long');
        continue;
      }
      if (tryGrant(waiter)) continue;
      // What doesn't help this one helps the others neither, but for those
      // that were at some of the servers already, and trials.
      const {excluded, trial} = waiter.req;
      const isSpecial = lane.owner === null && excluded.length > 0;
      if (!isSpecial && trial === undefined) return;
      passedOver.add(waiter);
    }
  };

  const refuseExpired = (lane: WaitQueue): void => {
    const now = cfg.clock.now();
    for (const waiter of waitersIn(lane)) {
      if (waiter.expiresAt <= now) refuse(waiter, 'waited-too-long');
    }
    for (const waiter of findOverdue(lane, now)) refuse(waiter, 'overdue');
  };

  const scheduleReevaluation = (): void => {
    if (cancelReevaluation !== null) return;
    cancelReevaluation = cfg.clock.after(REEVALUATION_MS, () => {
      cancelReevaluation = null;
      serveAllQueues();
    });
  };

  const serveAllQueues = (): void => {
    let isWaiting = false;
    for (const lane of queues.all()) {
      refuseExpired(lane);
      serveQueue(lane);
      isWaiting ||= queueLength(lane) > 0;
    }
    if (isWaiting) scheduleReevaluation();
  };

  const enqueueOrRefuse = (lane: WaitQueue, waiter: Waiter): void => {
    if (exceedsMaxWait(admission, lane, waiter))
      return refuse(waiter, 'too-many-wait');
    enqueue(lane, waiter);
    scheduleReevaluation();
    // A trial ahead of it may wait for a server without another one.
    if (trials.size > 0) serveQueue(lane);
  };

  return {
    ask(ask, reply) {
      const now = cfg.clock.now();
      const {serviceMs} = capacities.of(ask.service);
      const {priority} = ask;
      // By what a caller of its kind could bear at first. By what is left to
      // this one, those that come back would push out those that were let in.
      const slackMs = ask.askedMs + ask.aimLeftMs - serviceMs;
      if (slackMs > 0) slackTracker.noteSlack(ask.service, priority, slackMs);
      const waiter: Waiter = {
        req: ask,
        priority,
        reply,
        requestedAt: now,
        orderAt: now + slackMs,
        onTimeUntil: now + ask.aimLeftMs - serviceMs,
        expiresAt: now + ask.leftMs - serviceMs * MIN_SERVICE_TIMES_LEFT,
        grantedAt: 0,
        server: null,
        queue: null,
      };
      const lane = queues.queueFor(ask);
      if (ask.trial !== undefined) {
        const standing = cfg.suspects.standingOf(ask.trial);
        if (standing === 'quarantined') return refuseTrial(waiter, standing);
        if (trials.has(ask.trial)) return refuseTrial(waiter, 'trial-runs');
        trials.add(ask.trial);
      }
      if (waiter.expiresAt < now) refuse(waiter, 'no-time');
      else if (countAhead(lane, waiter) > 0 || !tryGrant(waiter)) {
        enqueueOrRefuse(lane, waiter);
      }
      return (how, tookMs) => {
        const {server} = waiter;
        waiter.server = null;
        if (server !== null || waiter.queue !== null) endTrial(waiter);
        if (server === null) return removeWaiter(waiter);
        const backend = cfg.backends.get(server);
        if (backend !== undefined)
          releaseSlot(cfg, backend, waiter, how, tookMs);
        for (const free of queues.queuesServedBy(ask.service, server))
          serveQueue(free);
      };
    },
    reevaluate() {
      capacities.invalidate();
      queues.regroup();
      serveAllQueues();
    },
    close() {
      cancelReevaluation?.();
      cancelReevaluation = null;
      for (const lane of queues.all()) {
        for (const waiter of waitersIn(lane)) {
          settle(waiter, {kind: 'unavailable'});
        }
      }
      queues.clear();
    },
    waitingKeys: service =>
      [...queues.all()].flatMap(lane =>
        lane.service === service ? keysOf(lane) : [],
      ),
    waitingCount() {
      let count = 0;
      for (const lane of queues.all()) count += queueLength(lane);
      return count;
    },
  };
}

function keysOf(from: WaitQueue): readonly number[] {
  return waitersIn(from).flatMap(({req: {key}}) => (key === null ? [] : [key]));
}

function releaseSlot(
  {clock, suspects}: SlotAllocatorConfig,
  backend: Backend,
  {grantedAt, req: ask}: Waiter,
  how: SlotOutcome,
  tookMs: number,
): void {
  backend.allocatedSlots = Math.max(0, backend.allocatedSlots - 1);
  if (ask.trial !== undefined) backend.hasTrial = false;
  const now = clock.now();
  if (how === 'answered') suspects.noteAlive(backend.info.id, grantedAt);
  if (how === 'answered' || how === 'failed') {
    noteAnswer(backend, now, tookMs, 0, how === 'failed', null);
  } else if (how === 'lost') {
    noteLoss(backend, now, tookMs);
    // It answered nobody since: without power it would go on like this.
    if (backend.lastAnswerAt < grantedAt) eject(backend, now);
  } else if (how === 'unreached') {
    eject(backend, now);
  }
}
