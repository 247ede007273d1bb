import {
  failure,
  type Failure,
  type FailureCode,
} from '@banyandrum/base/failure.js';
import {isSameIncarnation, type CellId} from '@banyandrum/base/ids.js';
import type {ServiceRequest} from '@banyandrum/base/request.js';
import {Err} from '@banyandrum/base/result.js';
import type {View} from '@banyandrum/config/state.js';
import {backoffMs} from './backoff.js';
import {guardDeadline, type Outcome} from './deadline-guard.js';
import type {DeadlineWheel} from './deadline.js';
import type {EntryOptions} from './entry.js';
import type {RetryBudget} from './retry-budget.js';
import {adviseRetry, worstOf} from './retry-policy.js';
import type {TrackedRequest} from './tracked-body.js';
import type {ViewWatch} from './view-watch.js';

export interface RouteOptions extends EntryOptions {
  readonly wheel: DeadlineWheel;
  readonly watch: ViewWatch;
  readonly budget: RetryBudget;
}

/** Brings one request to its cell's leader, within its deadline. */
export type Route = (cell: CellId, tracked: TrackedRequest) => Promise<Outcome>;

/** Times that one request is sent to a leader, at most. */
const MAX_ATTEMPTS = 6;

/**
 * How long requests wait for a cell's next leader, counted from the first
 * one that found none. A takeover ends within 4 s; whoever comes later than
 * that is told at once, instead of being held for a leader who may not come.
 */
const TAKEOVER_WAIT_MS = 5000;

/** How often a request asks whether this process is ready to lead. */
const LEADING_POLL_MS = 20;

/** Retry hint once a takeover takes longer than it should. */
const LONG_TROUBLE_RETRY_MS = 1000;

interface Trouble {
  readonly epoch: number;
  readonly since: number;
}

/** One request's way so far. */
interface Trip {
  readonly cell: CellId;
  readonly tracked: TrackedRequest;
  attempts: number;
  worst: Failure | null;
}

/**
 * Makes the attempts of a request: to the leader of the current view, then,
 * as far as verdict, budget and deadline allow, to the same one after a
 * pause or to its successor.
 *
 * @example
 * ```ts
 * const route = createRoute({...options, wheel, watch, budget});
 * const outcome = await route('holds/0', trackBody(req));
 * ```
 */
export function createRoute(options: RouteOptions): Route {
  const {clock, watch, budget} = options;
  const troubles = new Map<CellId, Trouble>();

  const attempt = (view: View, trip: Trip): Promise<Outcome> => {
    trip.attempts++;
    const {req} = trip.tracked;
    const local = isSameIncarnation(view.leader, options.self);
    if (local) {
      const queue = options.localLeader(trip.cell);
      return queue === null ? notYetLeading(trip) : queue.handle(req);
    }
    return new Promise(done =>
      guardDeadline({
        run: () => options.send(view.leader, req),
        wheel: options.wheel,
        deadline: req.deadline,
        verdict: () => 'may-have-run',
        done,
      }),
    );
  };

  const waitLimit = (cell: CellId, epoch: number): number => {
    let trouble = troubles.get(cell);
    if (trouble === undefined || trouble.epoch !== epoch) {
      trouble = {epoch, since: clock.now()};
      troubles.set(cell, trouble);
    }
    return trouble.since + TAKEOVER_WAIT_MS;
  };

  const pauseMs = (failed: Failure, trip: Trip): number =>
    NOT_LEADING.has(failed.code)
      ? LEADING_POLL_MS
      : backoffMs(trip.attempts, options.random);

  /** The view for the next attempt, or null where there is to be none. */
  const awaitNext = async (
    view: View | null,
    failed: Failure,
    trip: Trip,
  ): Promise<View | null> => {
    const {req} = trip.tracked;
    const whole = trip.tracked.isWhole();
    const advice = adviseRetry(failed, {once: req.once, whole});
    if (advice === 'final' || trip.attempts >= MAX_ATTEMPTS) return null;
    const epoch = view?.epoch ?? 0;
    const limit = Math.min(req.deadline, waitLimit(trip.cell, epoch));
    const pauseEnd = clock.now() + pauseMs(failed, trip);
    if (pauseEnd >= req.deadline) return null;
    const {cell} = trip;
    const newer = await watch.newerThan(cell, epoch, pauseEnd, req.signal);
    if (newer !== null || req.signal.aborted) return newer;
    const waiting = NOT_LEADING.has(failed.code);
    if (waiting && view !== null && clock.now() < limit) return view;
    if (!waiting && budget.spend()) return view;
    if (advice === 'again' || clock.now() >= limit) return null;
    return watch.newerThan(cell, epoch, limit, req.signal);
  };

  return async (cell, tracked) => {
    const trip: Trip = {cell, tracked, attempts: 0, worst: null};
    let view = options.leaderOf(cell);
    for (;;) {
      const outcome =
        view === null ? Err(noLeader()) : await attempt(view, trip);
      if (outcome.ok) {
        troubles.delete(cell);
        return outcome;
      }
      if (outcome.val.code === 'moved') trip.attempts--;
      const failed = worstOf(trip.worst, outcome.val);
      trip.worst = failed;
      if (!ROUTING_CODES.has(outcome.val.code)) troubles.delete(cell);
      view = await awaitNext(view, outcome.val, trip);
      if (view === null) return Err(conclude(failed, tracked.req));
      options.events?.retried?.(cell, failed.code);
    }
  };
}

/** The view names this process, which isn't ready yet; nothing was sent. */
function notYetLeading(trip: Trip): Promise<Outcome> {
  trip.attempts--;
  return Promise.resolve(Err(noLeader()));
}

function noLeader(): Failure {
  return failure('not-run', 'no-leader', 'the cell has no leader now');
}

/**
 * The router that the newest view names does not lead yet: it waits until the
 * old leader cannot act, or has not read that view itself. A newer view may
 * never come, so the same one is tried again; nothing was run.
 */
const NOT_LEADING: ReadonlySet<FailureCode> = new Set([
  'no-leader',
  'moved',
] as const);

const ROUTING_CODES: ReadonlySet<FailureCode> = new Set([
  'no-leader',
  'moved',
  'stopping',
  'fenced',
  'connection-lost',
] as const);

/** Adds what the caller needs to come back at a good time. */
function conclude(failed: Failure, req: ServiceRequest): Failure {
  if (req.signal.aborted && failed.verdict === 'not-run') {
    return failure('not-run', 'cancelled', 'the caller gave up');
  }
  if (failed.retryAfterMs !== undefined) return failed;
  if (!ROUTING_CODES.has(failed.code)) return failed;
  return {...failed, retryAfterMs: LONG_TROUBLE_RETRY_MS};
}
