import type {CancelSignal} from '@banyandrum/base/cancel.js';
import type {Clock} from '@banyandrum/base/clock.js';
import {failure, type Failure} from '@banyandrum/base/failure.js';
import type {Route} from '@banyandrum/routing/config.js';
import {startAttempt, type Answer, type AttemptEnd} from './attempt.js';
import {noteAnswer, noteLoss, suspect, type Backend} from './backend.js';
import type {Backends} from './backends.js';
import {choose, hasRoom, loadOf} from './choose.js';
import type {Connection} from './connections.js';
import type {Emit} from './events.js';
import type {Owners} from './owners.js';
import type {PlaceEnd, Places} from './places.js';
import type {RetryBudget} from './retry-budget.js';
import {readLoad, type WireNames} from './wire.js';

/** A caller's request, as it goes to a backend server. */
export interface ForwardRequest {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  /** Names and values in turn, without those that each attempt sets. */
  readonly headers: readonly string[];
  readonly body: Buffer | null;
  readonly route: Route;
  readonly service: string;
  /** Null where the service isn't divided by key. */
  readonly key: number | null;
  /** Monotonic time at which it came, in ms. */
  readonly arrivedAt: number;
  /** Monotonic time by which the caller must have its answer, in ms. */
  readonly deadline: number;
  readonly signal: CancelSignal;
}

/** What the caller gets. */
export type Reply =
  | {readonly kind: 'answer'; readonly answer: Answer; readonly server: string}
  | {readonly kind: 'failure'; readonly failure: Failure};

/** What forwarding needs of the process. */
export interface ForwardConfig {
  readonly backends: Backends;
  readonly owners: Owners;
  readonly places: Places;
  readonly dataCentre: string;
  readonly budget: RetryBudget;
  readonly names: WireNames;
  readonly clock: Clock;
  readonly emit: Emit;
  /** Routers that share the servers. */
  readonly routers: () => number;
}

/** A request's way through its attempts. */
interface Journey {
  readonly cfg: ForwardConfig;
  readonly req: ForwardRequest;
  /** Servers that may have run it. */
  runs: number;
  /** Requests written, those refused included. */
  sent: number;
  /** Attempts, those that reached nobody included. */
  tries: number;
  /** Not to be chosen again. */
  readonly excluded: Set<string>;
  /** Set when it was written and nobody can tell the outcome. */
  unproved: Failure | null;
  /** A server's own failure, given back where nothing better comes. */
  failed: Reply | null;
  /** When the caller should come back after a refusal, in ms. */
  retryAfterMs: number;
}

interface Target {
  readonly backend: Backend;
  readonly connection: Connection;
  /** Requests there before it, where no place was handed out. */
  readonly ahead: number;
  /** Tells whoever handed out the place how the request ended. */
  end(how: PlaceEnd, tookMs: number): void;
}

/** Attempts that a request may take, those that reached nobody included. */
const MAX_TRIES = 6;
/** Less time than this is not worth sending a request for, in ms. */
const MIN_SEND_MS = 20;
/** Waits for room or an owner are looked at again after this time, in ms. */
const WAIT_STEP_MS = 50;
/** A leaving server still gets its own keys' requests for this time, in ms. */
const LEAVING_GRACE_MS = 500;
/** When a caller should come back after a refusal, in ms. */
const RETRY_AFTER_MS = 150;

/**
 * Sends a request to a backend server, and to another where that is safe and
 * promises better. Never throws.
 *
 * @example
 * ```ts
 * const reply = await forward(cfg, req);
 * if (reply.kind === 'failure') refuse(reply.failure);
 * ```
 */
export async function forward(
  cfg: ForwardConfig,
  req: ForwardRequest,
): Promise<Reply> {
  const journey: Journey = {
    cfg,
    req,
    runs: 0,
    sent: 0,
    tries: 0,
    excluded: new Set(),
    unproved: null,
    failed: null,
    retryAfterMs: RETRY_AFTER_MS,
  };
  cfg.budget.earn(req.service);
  for (;;) {
    const target = await findTarget(journey);
    if (target === null) return giveUp(journey);
    const reply = await tryTarget(journey, target);
    if (reply !== null) return reply;
    if (!mayTryAgain(journey)) return giveUp(journey);
  }
}

/** Null where no server can answer in time. */
async function findTarget(journey: Journey): Promise<Target | null> {
  const {cfg, req} = journey;
  for (;;) {
    const leftMs = req.deadline - cfg.clock.now();
    if (req.signal.aborted || leftMs < MIN_SEND_MS) return null;
    const place = await cfg.places.acquire(
      {
        id: req.id,
        service: req.service,
        key: req.key,
        priority: req.route.priority,
        leftMs,
        aimLeftMs: req.arrivedAt + req.route.targetLatencyMs - cfg.clock.now(),
        excluded: [...journey.excluded],
        dataCentre: cfg.dataCentre,
      },
      req.signal,
    );
    if (place.kind === 'refused') {
      journey.retryAfterMs = place.retryAfterMs;
      return null;
    }
    if (place.kind === 'unavailable') return findAlone(journey);
    const backend = cfg.backends.get(place.server);
    if (backend !== undefined && mayUse(cfg, backend)) {
      const connection = backend.connections.acquire();
      if (connection !== null) {
        return {backend, connection, ahead: 0, end: place.end};
      }
    }
    // Whoever handed it out knows another list of servers, or connections
    // that linger; both are settled within moments.
    cfg.emit('place-unusable', {id: req.id, server: place.server});
    place.end('refused', 0);
    await cfg.backends.waitForRoom(req.service, WAIT_STEP_MS);
  }
}

/** Chooses without the router that hands out places. */
async function findAlone(journey: Journey): Promise<Target | null> {
  const {cfg, req} = journey;
  const giveUpAt = waitEnd(journey);
  if (req.key !== null) cfg.owners.noteRequest(req.service, req.key);
  for (;;) {
    if (req.signal.aborted) return null;
    const target = pickTarget(journey);
    if (target !== null) return target;
    const left = giveUpAt - cfg.clock.now();
    if (left <= 0) return null;
    const step = Math.min(left, WAIT_STEP_MS);
    if (req.key === null) await cfg.backends.waitForRoom(req.service, step);
    else await cfg.owners.waitForChange(req.service, step);
  }
}

/**
 * How long a request waits for a server: as long as its answer can still be
 * worth most. Later refusals cost the caller time that another try could use.
 */
function waitEnd({cfg, req}: Journey): number {
  const now = cfg.clock.now();
  const worthwhile = now + req.route.targetLatencyMs / 2;
  return Math.min(worthwhile, req.deadline - MIN_SEND_MS);
}

function pickTarget(journey: Journey): Target | null {
  const {cfg, req} = journey;
  const backend = req.key === null ? pickAny(journey) : pickOwner(journey);
  if (backend === null) return null;
  const connection = backend.connections.acquire();
  if (connection === null) {
    cfg.emit('no-connection', {id: req.id, server: backend.info.id});
    return null;
  }
  const ahead = loadOf(backend, 0, cfg.clock.now());
  return {backend, connection, ahead, end: () => undefined};
}

function pickAny({cfg, req, excluded}: Journey): Backend | null {
  const group = cfg.backends.ofService(req.service);
  const now = cfg.clock.now();
  const routers = cfg.routers();
  return choose(group, excluded, routers, now)?.backend ?? null;
}

function pickOwner({cfg, req}: Journey): Backend | null {
  const owner = cfg.owners.ownerOf(req.service, req.key!);
  if (owner.kind !== 'held') return null;
  const backend = cfg.backends.get(owner.server);
  const now = cfg.clock.now();
  if (backend === undefined || !mayUse(cfg, backend)) return null;
  if (backend.suspectUntil > now) return null;
  return hasRoom(backend, loadOf(backend, 0, now)) ? backend : null;
}

/** A server that leaves gets no new work, but for requests just placed. */
function mayUse({clock}: ForwardConfig, backend: Backend): boolean {
  const {isGone, leavingSince} = backend;
  if (isGone) return false;
  if (leavingSince === null) return true;
  return clock.now() - leavingSince < LEAVING_GRACE_MS;
}

async function tryTarget(
  journey: Journey,
  target: Target,
): Promise<Reply | null> {
  const {cfg, req} = journey;
  const {backend, connection, ahead} = target;
  const sentAt = cfg.clock.now();
  const withinMs = req.deadline - sentAt;
  if (withinMs < MIN_SEND_MS) {
    backend.connections.release(connection, true);
    target.end('cancelled', 0);
    return giveUp(journey);
  }
  journey.tries++;
  backend.inFlight++;
  const attempt = startAttempt(connection, cfg.names, cfg.clock, {
    method: req.method,
    path: req.path,
    headers: withAttemptHeaders(cfg.names, req, backend, withinMs),
    body: req.body,
    requestId: req.id,
    withinMs,
  });
  const cancel = (): void => attempt.drop('cancelled');
  req.signal.addEventListener('abort', cancel);
  const end = await attempt.end;
  req.signal.removeEventListener('abort', cancel);
  backend.inFlight--;
  backend.connections.release(connection, end.kind === 'answered');
  target.end(placeEndOf(cfg.names, end), cfg.clock.now() - sentAt);
  const reply = takeEnd(journey, backend, end, sentAt, ahead);
  cfg.backends.notifyRoom(req.service);
  return reply;
}

function withAttemptHeaders(
  names: WireNames,
  req: ForwardRequest,
  backend: Backend,
  withinMs: number,
): readonly string[] {
  return [
    ...req.headers,
    names.deadlineMs,
    String(Math.floor(withinMs)),
    names.expectedServer,
    backend.info.id,
  ];
}

function placeEndOf(names: WireNames, end: AttemptEnd): PlaceEnd {
  if (end.kind === 'lost') {
    if (end.reason === 'cancelled') return 'cancelled';
    return end.isWritten ? 'lost' : 'unreached';
  }
  const {answer} = end;
  if (answer.fields.has(names.notRun)) return 'refused';
  return isFailure(names, answer) ? 'failed' : 'answered';
}

/** Whether the server failed the request, or its answer can't be trusted. */
function isFailure(names: WireNames, answer: Answer): boolean {
  return answer.status >= 500 || isUnsigned(names, answer);
}

function takeEnd(
  journey: Journey,
  backend: Backend,
  end: AttemptEnd,
  sentAt: number,
  ahead: number,
): Reply | null {
  const {cfg, req} = journey;
  const now = cfg.clock.now();
  const tookMs = now - sentAt;
  const common = {id: req.id, server: backend.info.id, tookMs: round(tookMs)};
  if (end.kind === 'lost') {
    const {reason, isWritten, detail} = end;
    cfg.emit('attempt-lost', {...common, reason, isWritten, detail});
    return takeLoss(journey, backend, end, sentAt);
  }
  const {answer} = end;
  const {fields, status} = answer;
  const load = readLoad(fields.get(cfg.names.load));
  journey.sent++;
  if (fields.has(cfg.names.notRun)) {
    cfg.emit('attempt-refused', {...common, status});
    noteAnswer(backend, now, tookMs, ahead, status === 421, load);
    return takeRefusal(journey, backend, answer);
  }
  journey.runs++;
  const hasFailed = isFailure(cfg.names, answer);
  noteAnswer(backend, now, tookMs, ahead, hasFailed, load);
  if (!hasFailed) {
    return {kind: 'answer', answer, server: backend.info.id};
  }
  cfg.emit('attempt-failed', {...common, status});
  return takeFailure(journey, backend, answer);
}

function isUnsigned(names: WireNames, {status, fields}: Answer): boolean {
  return status < 300 && !fields.has(names.signature);
}

function takeLoss(
  journey: Journey,
  backend: Backend,
  end: AttemptEnd & {kind: 'lost'},
  sentAt: number,
): Reply | null {
  const {cfg, req} = journey;
  const now = cfg.clock.now();
  if (end.reason === 'cancelled') return giveUp(journey);
  noteLoss(backend, now, now - sentAt);
  if (!end.isWritten) {
    suspect(backend, now);
    journey.excluded.add(backend.info.id);
    return null;
  }
  journey.sent++;
  journey.runs++;
  if (end.reason === 'timeout') backend.connections.dropUnproved(sentAt);
  else if (end.reason === 'connection-lost') suspect(backend, now);
  const code = end.reason === 'timeout' ? 'deadline' : 'connection-lost';
  journey.unproved = failure('may-have-run', code, end.detail);
  if (req.route.kind === 'once') return fail(journey.unproved);
  journey.excluded.add(backend.info.id);
  return null;
}

function takeRefusal(
  journey: Journey,
  backend: Backend,
  answer: Answer,
): Reply | null {
  const {cfg, req, excluded} = journey;
  const {id} = backend.info;
  const other = answer.fields.get(cfg.names.serverId);
  if (answer.status === 421 && other !== undefined && other !== id) {
    backend.isGone = true;
    cfg.owners.noteReplaced(id);
  } else if (answer.status === 421 && req.key !== null) {
    cfg.owners.noteNotHeld(req.service, req.key, id);
  }
  if (req.key === null) excluded.add(id);
  return null;
}

function takeFailure(
  journey: Journey,
  backend: Backend,
  answer: Answer,
): Reply | null {
  const {cfg, req} = journey;
  if (isUnsigned(cfg.names, answer)) {
    journey.unproved = failure('ran', 'truncated', 'the answer is not whole');
    if (req.route.kind === 'once') return fail(journey.unproved);
  } else {
    journey.failed = {kind: 'answer', answer, server: backend.info.id};
    if (req.route.kind === 'once') return journey.failed;
  }
  journey.excluded.add(backend.info.id);
  return null;
}

/** Whether the request may go to a server once more. */
function mayTryAgain(journey: Journey): boolean {
  const {cfg, req, runs, tries, sent} = journey;
  if (req.signal.aborted) return false;
  if (tries >= MAX_TRIES || runs >= req.route.maxAttempts) return false;
  if (cfg.clock.now() > req.deadline - MIN_SEND_MS) return false;
  if (sent === 0) return true;
  return cfg.budget.spend(req.service);
}

function giveUp(journey: Journey): Reply {
  const {req} = journey;
  if (journey.failed !== null) return journey.failed;
  if (journey.unproved !== null) return fail(journey.unproved);
  if (req.signal.aborted) {
    return fail(failure('not-run', 'cancelled', 'the caller gave up'));
  }
  const code = req.key === null ? 'overloaded' : 'no-owner';
  const detail = 'no server has room';
  return fail(failure('not-run', code, detail, journey.retryAfterMs));
}

function fail(reason: Failure): Reply {
  return {kind: 'failure', failure: reason};
}

function round(ms: number): number {
  return Math.round(ms * 10) / 10;
}
