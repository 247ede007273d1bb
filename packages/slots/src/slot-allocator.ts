import {
  hasEverAnswered,
  noteAnswer,
  noteLoss,
  type Backend,
} from '@banyandrum/dispatch/backend.js';
import {UNKNOWN_KIND} from '@banyandrum/service-times/kind.js';
import {createCapacityCache} from './capacity-cache.js';
import {ejectServer} from '@banyandrum/dispatch/eject-server.js';
import {
  findFreeServer,
  findIdleServer,
  type SlotAllocatorConfig,
} from './free-server.js';
import {requestTime} from './request-time.js';
import {
  countAhead,
  queueLength,
  enqueue,
  removeWaiter,
  NO_OWNER,
  waitersIn,
  type WaitQueue,
  type Waiter,
} from './wait-queue.js';
import {
  createRefusalCounts,
  largestFlows,
  type FlowReport,
  type RefusalCount,
} from './queue-report.js';
import {createSlackTracker} from './slack-tracker.js';
import {createWaitQueues} from './wait-queues.js';
import {exceedsFairWait} from './fair-admission.js';
import {findDisplaced, nextFairWaiter} from './fair-choice.js';
import {createFairTurns} from './fair-turns.js';
import {
  capacityFor,
  capacityWithin,
  exceedsMaxWait,
  limitedWaitMs,
  findOverdue,
  nextWaiter,
} from './queue-policy.js';
import type {
  SlotRequest,
  SlotOutcome,
  SlotReply,
} from '@banyandrum/dispatch/slots.js';

/** Allocates the slots of all servers to the requests of all routers. */
export interface SlotAllocator {
  /**
   * Requests a slot. Calls `reply` at once or when a slot becomes free. The
   * returned function cancels the request or releases the allocated slot.
   */
  ask(
    req: SlotRequest,
    reply: (reply: SlotReply) => void,
  ): (outcome: SlotOutcome, tookMs: number, slowdown?: number) => void;
  /** Processes all waiting requests again, as owners or servers changed. */
  reevaluate(): void;
  /** Replies `unavailable` to all waiting requests. */
  close(): void;
  /** Number of waiting requests. */
  waitingCount(): number;
  /** Number of requests that were refused since the start, by reason. */
  refusals(): readonly RefusalCount[];
  /**
   * Callers and keys that hold the most slots; empty if the queue isn't fair by
   * caller and key.
   */
  largestFlows(): readonly FlowReport[];
  /** Keys of the service's waiting requests, one entry per request. */
  waitingKeys(service: string): readonly number[];
  /** Keys of the service's requests that have a slot, one entry per request. */
  runningKeys(service: string): readonly number[];
}

/**
 * Minimum time to the deadline for allocating a slot, in mean service times. A
 * request that times out at the server wastes its slot. Such timeouts kept
 * goodput at half after the cause of an overload had ended.
 */
const MIN_SERVICE_TIMES_LEFT = 1.8;
/** Without an outcome for this time, in ms, an estimate is tested. */
const UNTESTED_MS = 500;
/** Minimum retry delay of refused callers, in ms. */
const RETRY_AFTER_MS = 200;
/** Interval at which waiting requests are processed in any case, in ms. */
const REEVALUATION_MS = 40;

/**
 * Creates the allocator. It counts the allocated slots of each server, and
 * queues requests centrally instead of at the servers. This allows it to order
 * them by priority and to follow keys that move to another server.
 *
 * @example
 * ```ts
 * const allocator = createSlotAllocator(cfg);
 * const release = allocator.ask(req, reply => use(reply));
 * release('answered', 180);
 * ```
 */
export function createSlotAllocator(cfg: SlotAllocatorConfig): SlotAllocator {
  const queues = createWaitQueues(cfg);
  const capacities = createCapacityCache(cfg);
  const slackTracker = createSlackTracker();
  const policyCfg = {...cfg, capacities, slackTracker};
  /** Null if waiting requests are ordered by slack alone. */
  const turns = cfg.queue === 'fair' ? createFairTurns(cfg.clock) : null;
  const next = turns === null ? nextWaiter : nextFairWaiter;
  const refusalCounts = createRefusalCounts();
  /** Digests of suspected requests that wait or have a slot. */
  const trials = new Set<string>();
  /** Requests that have a slot. */
  const running = new Set<Waiter>();
  let cancelReevaluation: (() => void) | null = null;

  const endTrial = ({req: {trial}}: Waiter): void => {
    if (trial !== undefined) trials.delete(trial);
  };

  const settle = (waiter: Waiter, reply: SlotReply): void => {
    removeWaiter(waiter);
    turns?.release(waiter, reply.kind === 'granted');
    if (reply.kind !== 'granted') endTrial(waiter);
    waiter.reply(reply);
  };

  const refuse = (waiter: Waiter, why: string): void => {
    const {req, requestedAt, expiresAt} = waiter;
    const now = cfg.clock.now();
    const queue = waiter.queue ?? queues.queueFor(req);
    const {serviceMs} = capacities.of(req.service);
    refusalCounts.note(req.service, why);
    cfg.emit('place-refused', {
      ...{id: req.id, service: req.service, key: req.key, why},
      ...(turns !== null && {caller: req.caller ?? 0}),
      waitedMs: Math.round(now - requestedAt),
      leftMs: Math.round(expiresAt - now),
      waiting: queueLength(queue),
      serviceMs: Math.round(serviceMs),
    });
    settle(waiter, {
      kind: 'refused',
      // Before the requests ahead have been served, it would be refused again.
      retryAfterMs: Math.max(
        RETRY_AFTER_MS,
        serviceMs,
        limitedWaitMs(policyCfg, queue),
      ),
      isUnheld: queue.owner === NO_OWNER,
    });
  };

  /**
   * Refuses a trial without removing its digest, which another may be using.
   */
  const refuseTrial = (waiter: Waiter, why: string): (() => void) => {
    const {id, service, key, trial} = waiter.req;
    refusalCounts.note(service, why);
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
    running.add(waiter);
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

  /**
   * Grants a slot of an idle server, of which nothing was learnt for a while, to
   * a request that seems to take too long. Only outcomes lower an estimate:
   * otherwise a service whose servers were slow would be refused for good. A
   * request that has used half of its time would tell little.
   */
  const tryGrantUntested = (waiter: Waiter): boolean => {
    const {leftMs, askedMs} = waiter.req;
    if (leftMs < askedMs) return false;
    const untestedSince = cfg.clock.now() - UNTESTED_MS;
    const backend = findIdleServer(cfg, waiter.req, untestedSince);
    if (backend === null) return false;
    grant(waiter, backend);
    return true;
  };

  const serveQueue = (queue: WaitQueue): void => {
    if (queueLength(queue) === 0) return;
    const now = cfg.clock.now();
    const skipped = new Set<Waiter>();
    for (;;) {
      const waiter = next(queue, skipped, now);
      if (waiter === null) return;
      if (waiter.expiresAt <= now) {
        refuse(waiter, 'waited-too-long');
        continue;
      }
      if (tryGrant(waiter)) continue;
      // If no server is free for this request, none is for the others either,
      // unless this one excludes servers or is a trial.
      const {excluded, trial} = waiter.req;
      const hasExclusions = queue.owner === null && excluded.length > 0;
      if (!hasExclusions && trial === undefined) return;
      skipped.add(waiter);
    }
  };

  const refuseExpired = (queue: WaitQueue): void => {
    const now = cfg.clock.now();
    for (const waiter of waitersIn(queue)) {
      if (waiter.expiresAt <= now) refuse(waiter, 'waited-too-long');
    }
    for (const waiter of findOverdue(queue, now)) refuse(waiter, 'overdue');
    if (turns === null || queueLength(queue) === 0) return;
    const capacity = capacityFor(policyCfg, queue);
    for (const waiter of findDisplaced(queue, capacity, now))
      refuse(waiter, 'displaced');
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
    for (const queue of queues.all()) {
      if (queueLength(queue) === 0) continue;
      refuseExpired(queue);
      serveQueue(queue);
      isWaiting ||= queueLength(queue) > 0;
    }
    if (isWaiting) scheduleReevaluation();
  };

  const assignTurn = (
    queue: WaitQueue,
    waiter: Waiter,
    all = capacities.of(queue.service),
  ): void => {
    const capacity = capacityWithin(policyCfg, queue, all);
    turns?.assign(queue, waiter, capacity, all.slots);
  };

  const enqueueOrRefuse = (queue: WaitQueue, waiter: Waiter): void => {
    const isTooLong =
      turns === null
        ? exceedsMaxWait(policyCfg, queue, waiter)
        : exceedsFairWait(policyCfg, turns, queue, waiter);
    if (isTooLong) return refuse(waiter, 'too-many-wait');
    enqueue(queue, waiter);
    scheduleReevaluation();
    // The waiters ahead may be trials that wait for a server without a trial.
    if (trials.size > 0) serveQueue(queue);
  };

  return {
    ask(req, reply) {
      const now = cfg.clock.now();
      const capacity = capacities.of(req.service);
      const queue = queues.queueFor(req);
      const time = requestTime(cfg, req, queue.owner, capacity.serviceMs);
      const serviceMs = time.ownMs;
      const {priority} = req;
      // The slack at the caller's first request. With the remaining slack,
      // retries would overtake and displace requests that are already queued.
      const slackMs = req.askedMs + req.aimLeftMs - serviceMs;
      // Independent of the owner's speed: keys of slow servers don't compete with
      // those of others.
      const typicalSlackMs = req.askedMs + req.aimLeftMs - time.typicalMs;
      if (typicalSlackMs > 0)
        slackTracker.noteSlack(req.service, priority, typicalSlackMs);
      const waiter: Waiter = {
        req,
        priority,
        reply,
        requestedAt: now,
        orderAt: now + slackMs,
        turn: 0,
        onTimeUntil: now + req.aimLeftMs - serviceMs,
        expiresAt: now + req.leftMs - serviceMs * MIN_SERVICE_TIMES_LEFT,
        grantedAt: 0,
        server: null,
        queue: null,
      };
      if (req.trial !== undefined) {
        const standing = cfg.suspects.standingOf(req.trial);
        if (standing === 'quarantined') return refuseTrial(waiter, standing);
        if (trials.has(req.trial)) return refuseTrial(waiter, 'trial-runs');
        trials.add(req.trial);
      }
      assignTurn(queue, waiter, capacity);
      if (waiter.expiresAt < now) {
        if (!tryGrantUntested(waiter)) refuse(waiter, 'no-time');
      } else if (countAhead(queue, waiter) > 0 || !tryGrant(waiter)) {
        enqueueOrRefuse(queue, waiter);
      }
      return (outcome, tookMs, slowdown) => {
        const {server} = waiter;
        waiter.server = null;
        running.delete(waiter);
        if (server !== null || waiter.queue !== null) endTrial(waiter);
        if (server === null) {
          removeWaiter(waiter);
          turns?.release(waiter, false);
          return;
        }
        if (outcome === 'not-held' && req.key !== null)
          cfg.onNotHeld(req.service, req.key, server, waiter.grantedAt);
        const backend = cfg.backends.get(server);
        if (backend !== undefined)
          releaseSlot(cfg, backend, waiter, {outcome, tookMs, slowdown});
        for (const queue of queues.queuesServedBy(req.service, server))
          serveQueue(queue);
      };
    },
    reevaluate() {
      capacities.invalidate();
      queues.regroup(assignTurn);
      turns?.cleanUp();
      serveAllQueues();
    },
    close() {
      cancelReevaluation?.();
      cancelReevaluation = null;
      for (const queue of queues.all()) {
        for (const waiter of waitersIn(queue)) {
          settle(waiter, {kind: 'unavailable'});
        }
      }
      queues.clear();
    },
    refusals: refusalCounts.all,
    largestFlows: () =>
      turns === null ? [] : largestFlows(turns.accounts(), cfg.clock.now()),
    waitingKeys: service =>
      [...queues.all()].flatMap(queue =>
        queue.service === service ? keysOf(queue) : [],
      ),
    runningKeys: service =>
      [...running].flatMap(({req}) =>
        req.service === service && req.key !== null ? [req.key] : [],
      ),
    waitingCount() {
      let count = 0;
      for (const queue of queues.all()) count += queueLength(queue);
      return count;
    },
  };
}

function keysOf(from: WaitQueue): readonly number[] {
  return waitersIn(from).flatMap(({req: {key}}) => (key === null ? [] : [key]));
}

/** How the use of a slot ended. */
interface SlotEnd {
  readonly outcome: SlotOutcome;
  readonly tookMs: number;
  readonly slowdown: number | undefined;
}

/** Outcomes of requests that no server got. */
const UNREACHED: ReadonlySet<SlotOutcome> = new Set(['unreached', 'cut-off']);

function releaseSlot(
  {clock, suspects, emit, times, onAnswer}: SlotAllocatorConfig,
  backend: Backend,
  {grantedAt, req}: Waiter,
  {outcome, tookMs, slowdown}: SlotEnd,
): void {
  backend.allocatedSlots = Math.max(0, backend.allocatedSlots - 1);
  if (req.trial !== undefined) backend.hasTrial = false;
  const now = clock.now();
  if (outcome === 'answered') {
    const server = backend.info.id;
    const {service, kind = UNKNOWN_KIND} = req;
    suspects.noteAlive(server, grantedAt);
    onAnswer?.(backend, tookMs);
    const sample = {service, kind, server, tookMs};
    times?.record({...sample, slowdown: slowdown ?? null});
  }
  if (outcome === 'answered' || outcome === 'failed') {
    noteAnswer(backend, now, tookMs, 0, outcome === 'failed', null);
  } else if (outcome === 'lost') {
    noteLoss(backend, now, tookMs);
    // No answer since then: a host without power would time out each request.
    if (backend.lastAnswerAt < grantedAt)
      ejectServer(emit, backend, now, {id: req.id, outcome, by: 'slot'});
  } else if (UNREACHED.has(outcome) && backend.lastAnswerAt < grantedAt) {
    // A router that is cut off says nothing of a server that answers others.
    if (outcome === 'cut-off' && hasEverAnswered(backend)) return;
    ejectServer(emit, backend, now, {
      ...{id: req.id, outcome: 'unreached', by: 'slot'},
    });
  }
}
