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

/** Sends one request to its cell's leader, within its deadline. */
export type Route = (cell: CellId, tracked: TrackedRequest) => Promise<Outcome>;

/** Maximum number of times that a request is sent to a leader. */
const MAX_ATTEMPTS = 6;

/**
 * Maximum time that requests wait for a cell's next leader, in ms, from the first
 * request that found none. A takeover takes up to 4 s; later requests are refused
 * at once, as there may be no leader soon.
 */
const TAKEOVER_WAIT_MS = 5000;

/** Interval at which a request checks whether the router leads, in ms. */
const LEADING_POLL_MS = 20;

/** Retry delay for callers while a takeover takes too long, in ms. */
const LATE_TAKEOVER_RETRY_MS = 1000;

interface LeaderGap {
  readonly epoch: number;
  readonly since: number;
}

/** A request and its attempts so far. */
interface RoutedRequest {
  readonly cell: CellId;
  readonly tracked: TrackedRequest;
  attempts: number;
  worst: Failure | null;
}

/**
 * Creates the route of requests to leaders. A request is sent to the leader of
 * the current view. If verdict, budget and deadline allow, it is sent again: to
 * the same leader after a delay, or to its successor.
 *
 * @example
 * ```ts
 * const route = createRoute({...options, wheel, watch, budget});
 * const outcome = await route('holds/0', trackBody(req));
 * ```
 */
export function createRoute(options: RouteOptions): Route {
  const {clock, watch, budget} = options;
  const leaderGaps = new Map<CellId, LeaderGap>();

  const attempt = (view: View, trip: RoutedRequest): Promise<Outcome> => {
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

  const waitDeadline = (cell: CellId, epoch: number): number => {
    let trouble = leaderGaps.get(cell);
    if (trouble === undefined || trouble.epoch !== epoch) {
      trouble = {epoch, since: clock.now()};
      leaderGaps.set(cell, trouble);
    }
    return trouble.since + TAKEOVER_WAIT_MS;
  };

  const retryDelayMs = (failed: Failure, trip: RoutedRequest): number =>
    NOT_LEADING.has(failed.code)
      ? LEADING_POLL_MS
      : backoffMs(trip.attempts, options.random);

  /** The view for the next attempt; null if there is none. */
  const nextView = async (
    view: View | null,
    failed: Failure,
    trip: RoutedRequest,
  ): Promise<View | null> => {
    const {req} = trip.tracked;
    const whole = trip.tracked.isWhole();
    const advice = adviseRetry(failed, {once: req.once, whole});
    if (advice === 'final' || trip.attempts >= MAX_ATTEMPTS) return null;
    const epoch = view?.epoch ?? 0;
    const limit = Math.min(req.deadline, waitDeadline(trip.cell, epoch));
    const pauseEnd = clock.now() + retryDelayMs(failed, trip);
    if (pauseEnd >= req.deadline) return null;
    const {cell} = trip;
    const newer = await watch.newerThan(cell, epoch, pauseEnd, req.signal);
    if (newer !== null || req.signal.aborted) return newer;
    const waiting = NOT_LEADING.has(failed.code);
    if (waiting && view !== null && clock.now() < limit) return view;
    if (!waiting && budget.tryWithdraw()) return view;
    if (advice === 'again' || clock.now() >= limit) return null;
    return watch.newerThan(cell, epoch, limit, req.signal);
  };

  return async (cell, tracked) => {
    const trip: RoutedRequest = {cell, tracked, attempts: 0, worst: null};
    let view = options.leaderOf(cell);
    for (;;) {
      const outcome =
        view === null ? Err(noLeader()) : await attempt(view, trip);
      if (outcome.ok) {
        leaderGaps.delete(cell);
        return outcome;
      }
      if (outcome.val.code === 'moved') trip.attempts--;
      const failed = worstOf(trip.worst, outcome.val);
      trip.worst = failed;
      if (!ROUTING_CODES.has(outcome.val.code)) leaderGaps.delete(cell);
      view = await nextView(view, outcome.val, trip);
      if (view === null) return Err(toFinalFailure(failed, tracked.req));
      options.events?.retried?.(cell, failed.code);
    }
  };
}

/** This process is the leader but not ready yet; nothing was sent. */
function notYetLeading(trip: RoutedRequest): Promise<Outcome> {
  trip.attempts--;
  return Promise.resolve(Err(noLeader()));
}

function noLeader(): Failure {
  return failure('not-run', 'no-leader', 'the cell has no leader now');
}

/**
 * The leader of the newest view isn't ready: it waits until the old leader can't
 * act, or hasn't read that view. There may be no newer view, so the same leader
 * is tried again; nothing was run.
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

/** Adds a retry delay for the caller if the failure has none. */
function toFinalFailure(failed: Failure, req: ServiceRequest): Failure {
  if (req.signal.aborted && failed.verdict === 'not-run') {
    return failure('not-run', 'cancelled', 'the caller gave up');
  }
  if (failed.retryAfterMs !== undefined) return failed;
  if (!ROUTING_CODES.has(failed.code)) return failed;
  return {...failed, retryAfterMs: LATE_TAKEOVER_RETRY_MS};
}
