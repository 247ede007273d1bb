import type {AnswerLimits} from './answer-limits.js';
import {
  createServerConnections,
  type ServerConnections,
} from './connections.js';
import type {ReportedLoad} from './wire.js';

/** Entry of a backend server in the server list. */
export interface ServerInfo {
  /** Id of the server instance; a restarted server has another one. */
  readonly id: string;
  readonly service: string;
  /** `ip:port`. */
  readonly address: string;
  readonly dataCentre: string;
  /** Number of requests that the server runs concurrently. */
  readonly slots: number;
  readonly isLeaving: boolean;
  /**
   * Monotonic time until which the server is cold by its entry, in ms; 0 if the
   * entry has it warm.
   */
  readonly coldUntil: number;
}

/** An evacuation of a data centre, as known to this router. */
export interface Evacuation {
  /** Monotonic time at which it became known, in ms. */
  readonly since: number;
  /** Monotonic time until which owned keys may be served there, in ms. */
  readonly ownedKeysUntil: number;
}

/** State of a backend server, as known to this router. */
export interface Backend {
  info: ServerInfo;
  readonly connections: ServerConnections;
  /** Requests from this router in flight at the server. */
  inFlight: number;
  /**
   * Slots of the server that this router, as leader, allocated to any router.
   */
  allocatedSlots: number;
  /** Whether one of these slots is used by a suspected request. */
  hasTrial: boolean;
  /** Requests from other routers at the server, by its last load report. */
  othersInFlight: number;
  /** Monotonic time of that load report, in ms. */
  othersInFlightAt: number;
  /** Smoothed service time without queueing, in ms; 0 if unknown. */
  serviceMs: number;
  /**
   * Smoothed fraction of requests that failed, 0 to 1, as of `failureRateAt`.
   */
  failureRate: number;
  /** Monotonic time of the last update of `failureRate`, in ms. */
  failureRateAt: number;
  /**
   * Monotonic time of the last request that this router sent to it, or allocated as
   * leader, in ms; `-Infinity` before the first.
   */
  lastRequestAt: number;
  /** Monotonic time of the last answer, in ms; `-Infinity` before the first. */
  lastAnswerAt: number;
  /** Monotonic time until which other servers are preferred, in ms. */
  ejectedUntil: number;
  /** Length of the last ejection, in ms; 0 after an answer. */
  ejectionMs: number;
  /** Monotonic time until which the server is cold, in ms. */
  coldUntil: number;
  /** Whether another instance answers at the server's address. */
  isReplaced: boolean;
  /** Monotonic time at which its shutdown became known, in ms; or null. */
  leavingSince: number | null;
  /** Set while the operator wants its data centre to get no requests. */
  evacuation: Evacuation | null;
  /** Count and sum of the service times measured since the last report. */
  unreportedServiceTimes: {readonly count: number; readonly totalMs: number};
}

/** Weight of a new service time in the exponential moving average. */
const SERVICE_TIME_WEIGHT = 0.15;
/** Weight of a new outcome in the exponential moving average. */
const FAILURE_RATE_WEIGHT = 0.12;
/** Half-life of the failure rate without requests, in ms. */
const FAILURE_RATE_HALF_LIFE_MS = 3_000;
/** Length of the first ejection, in ms; doubles while no answer arrives. */
const MIN_EJECTION_MS = 250;
/** Maximum length of an ejection, in ms. */
const MAX_EJECTION_MS = 2_000;
/**
 * Maximum length for a server that has never answered and can't be reached, in
 * ms. Its entry may be of another writer and name nobody; many such entries would
 * cost each request several attempts.
 */
const MAX_UNREACHED_EJECTION_MS = 4_000;

/** Creates the state of a backend server from its list entry. */
export function createBackend(
  info: ServerInfo,
  connectionLimit: number,
  now: number,
  answers?: AnswerLimits,
): Backend {
  return {
    info,
    connections: createServerConnections(
      `http://${info.address}`,
      connectionLimit,
      answers,
    ),
    inFlight: 0,
    allocatedSlots: 0,
    hasTrial: false,
    othersInFlight: 0,
    othersInFlightAt: now,
    serviceMs: 0,
    failureRate: 0,
    failureRateAt: now,
    lastRequestAt: -Infinity,
    lastAnswerAt: -Infinity,
    ejectedUntil: 0,
    ejectionMs: 0,
    coldUntil: info.coldUntil,
    isReplaced: false,
    leavingSince: info.isLeaving ? now : null,
    evacuation: null,
    unreportedServiceTimes: {count: 0, totalMs: 0},
  };
}

/**
 * Whether the server may be chosen for requests without a key: it isn't shutting
 * down, replaced or in an evacuated data centre.
 */
export function isEligible({info, isReplaced, evacuation}: Backend): boolean {
  return !info.isLeaving && !isReplaced && evacuation === null;
}

/**
 * Whether requests for the keys that the server owns may be sent to it. After
 * its data centre was evacuated they may for a while, as the keys move one after
 * the other.
 */
export function mayServeOwnedKeys({evacuation}: Backend, now: number): boolean {
  return evacuation === null || now < evacuation.ownedKeysUntil;
}

/** Whether the server has started so recently that it bears few requests. */
export function isCold({coldUntil}: Backend, now: number): boolean {
  return coldUntil > now;
}

/**
 * Updates the state from a server's answer. `inFlightAtSend` is the number of
 * requests at the server when this one was sent.
 */
export function noteAnswer(
  backend: Backend,
  now: number,
  tookMs: number,
  inFlightAtSend: number,
  isFailure: boolean,
  load: ReportedLoad | null,
): void {
  backend.lastAnswerAt = now;
  backend.ejectedUntil = 0;
  backend.ejectionMs = 0;
  if (load !== null) {
    const total = load.running + load.waiting;
    backend.othersInFlight = Math.max(0, total - backend.inFlight);
    backend.othersInFlightAt = now;
  }
  noteOutcome(backend, now, isFailure);
  if (isFailure) return;
  const serviceMs = withoutQueueing(backend, tookMs, inFlightAtSend);
  const {count, totalMs} = backend.unreportedServiceTimes;
  backend.unreportedServiceTimes = {
    count: count + 1,
    totalMs: totalMs + serviceMs,
  };
  backend.serviceMs =
    backend.serviceMs === 0
      ? serviceMs
      : backend.serviceMs +
        SERVICE_TIME_WEIGHT * (serviceMs - backend.serviceMs);
}

/**
 * The time of a request without its wait in the server's own queue, in ms, which
 * is estimated from the number of requests there when it was sent.
 */
export function withoutQueueing(
  {info: {slots}}: Pick<Backend, 'info'>,
  tookMs: number,
  inFlightAtSend: number,
): number {
  const rounds = 1 + Math.max(0, inFlightAtSend - slots + 1) / slots;
  return tookMs / rounds;
}

/**
 * Updates the state after a request without a complete answer. The elapsed time
 * is a lower bound of its service time, so it can only raise the average. If
 * only answers counted, a server whose requests mostly time out would seem
 * fast.
 */
export function noteLoss(backend: Backend, now: number, tookMs: number): void {
  noteOutcome(backend, now, true);
  if (tookMs <= backend.serviceMs) return;
  const raise = SERVICE_TIME_WEIGHT * (tookMs - backend.serviceMs);
  backend.serviceMs += raise;
}

/**
 * Ejects the server for a time that doubles with each consecutive ejection.
 * Returns whether it was not ejected before. `isReached` tells whether the
 * request without an answer was sent to it.
 */
export function eject(
  backend: Backend,
  now: number,
  isReached: boolean,
): boolean {
  if (backend.ejectedUntil > now) return false;
  const isProven = isReached || hasEverAnswered(backend);
  backend.ejectionMs = Math.min(
    isProven ? MAX_EJECTION_MS : MAX_UNREACHED_EJECTION_MS,
    Math.max(MIN_EJECTION_MS, backend.ejectionMs * 2),
  );
  backend.ejectedUntil = now + backend.ejectionMs;
  return true;
}

/** Whether the server has answered any request that this router knows of. */
export function hasEverAnswered({lastAnswerAt}: Backend): boolean {
  return lastAnswerAt > -Infinity;
}

/** Whether the server was ejected before it answered anything. */
export function isUnproven(backend: Backend): boolean {
  return backend.ejectionMs > 0 && !hasEverAnswered(backend);
}

/** Failure rate decayed to the present, 0 to 1. */
export function currentFailureRate(backend: Backend, now: number): number {
  if (backend.failureRate === 0) return 0;
  const idle = now - backend.failureRateAt;
  return backend.failureRate * 0.5 ** (idle / FAILURE_RATE_HALF_LIFE_MS);
}

function noteOutcome(backend: Backend, now: number, isFailure: boolean): void {
  const rate = currentFailureRate(backend, now);
  const outcome = isFailure ? 1 : 0;
  backend.failureRate = rate + FAILURE_RATE_WEIGHT * (outcome - rate);
  backend.failureRateAt = now;
}
