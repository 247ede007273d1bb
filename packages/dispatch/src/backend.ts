import {
  createServerConnections,
  type ServerConnections,
} from './connections.js';
import type {ReportedLoad} from './wire.js';

/** What the list of backend servers says of one. */
export interface ServerInfo {
  /** Names one run of a server; a restarted one is another (`server-run.ts`). */
  readonly id: string;
  readonly service: string;
  /** `ip:port`. */
  readonly address: string;
  readonly dataCentre: string;
  /** Requests that it runs at the same time. */
  readonly slots: number;
  readonly isLeaving: boolean;
  /** How much longer it stays slow after its start, in ms. */
  readonly coldMs: number;
}

/** A backend server as this router knows it. */
export interface Backend {
  info: ServerInfo;
  readonly connections: ServerConnections;
  /** Requests of this router at the server. */
  inFlight: number;
  /** Requests of all routers there, as this one handed out its places. */
  allocatedSlots: number;
  /** Whether a suspected request is among these. */
  hasTrial: boolean;
  /** Requests of other routers there, as the last answer told. */
  othersInFlight: number;
  /** Monotonic time of that answer, in ms. */
  othersInFlightAt: number;
  /** Smoothed time for one request without waiting, in ms; 0 unknown. */
  serviceMs: number;
  /** Smoothed share of requests that failed, 0 to 1. */
  failureRate: number;
  failureRateAt: number;
  /** Monotonic time of its last answer, in ms. */
  lastAnswerAt: number;
  /** Not chosen before this monotonic time, in ms, while others are. */
  ejectedUntil: number;
  ejectionMs: number;
  coldUntil: number;
  /** Another run of a server answers at its address. */
  isReplaced: boolean;
  /** Monotonic time since which it is known to leave, in ms; or null. */
  leavingSince: number | null;
  /** Service times measured since they were last reported. */
  unreportedServiceTimes: {readonly count: number; readonly totalMs: number};
}

/** Weight of the newest service time in the smoothed one. */
const SERVICE_TIME_WEIGHT = 0.15;
/** Weight of the newest outcome in the share of failures. */
const FAILURE_RATE_WEIGHT = 0.12;
/** The share of failures halves in this time without a request, in ms. */
const FAILURE_RATE_HALF_LIFE_MS = 3_000;
/** First and longest time for which a server is passed over, in ms. */
const MIN_EJECTION_MS = 250;
const MAX_EJECTION_MS = 2_000;

/** Makes a backend server's state from its entry in the list. */
export function createBackend(
  info: ServerInfo,
  connectionLimit: number,
  now: number,
): Backend {
  return {
    info,
    connections: createServerConnections(
      `http://${info.address}`,
      connectionLimit,
    ),
    inFlight: 0,
    allocatedSlots: 0,
    hasTrial: false,
    othersInFlight: 0,
    othersInFlightAt: now,
    serviceMs: 0,
    failureRate: 0,
    failureRateAt: now,
    lastAnswerAt: -Infinity,
    ejectedUntil: 0,
    ejectionMs: 0,
    coldUntil: now + info.coldMs,
    isReplaced: false,
    leavingSince: info.isLeaving ? now : null,
    unreportedServiceTimes: {count: 0, totalMs: 0},
  };
}

/** Takes a server's answer into account. */
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
  const {slots} = backend.info;
  const rounds = 1 + Math.max(0, inFlightAtSend - slots + 1) / slots;
  const serviceMs = tookMs / rounds;
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
 * Takes a request without a whole answer into account. What it took so far is
 * less than its service time, so it only ever raises the smoothed one: from
 * answers alone, a server that lets most requests time out would seem quick.
 */
export function noteLoss(backend: Backend, now: number, tookMs: number): void {
  noteOutcome(backend, now, true);
  if (tookMs <= backend.serviceMs) return;
  const raise = SERVICE_TIME_WEIGHT * (tookMs - backend.serviceMs);
  backend.serviceMs += raise;
}

/** Passes the server over for a while, longer each time in a row. */
export function eject(backend: Backend, now: number): void {
  if (backend.ejectedUntil > now) return;
  backend.ejectionMs = Math.min(
    MAX_EJECTION_MS,
    Math.max(MIN_EJECTION_MS, backend.ejectionMs * 2),
  );
  backend.ejectedUntil = now + backend.ejectionMs;
}

/** The share of failures now, 0 to 1. */
export function currentFailureRate(backend: Backend, now: number): number {
  if (backend.failureRate === 0) return 0;
  const idle = now - backend.failureRateAt;
  return backend.failureRate * 0.5 ** (idle / FAILURE_RATE_HALF_LIFE_MS);
}

function noteOutcome(backend: Backend, now: number, isFailure: boolean): void {
  const share = currentFailureRate(backend, now);
  const outcome = isFailure ? 1 : 0;
  backend.failureRate = share + FAILURE_RATE_WEIGHT * (outcome - share);
  backend.failureRateAt = now;
}
