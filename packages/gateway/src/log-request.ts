import {STOPPING, type CancelSignal} from '@banyandrum/base/cancel.js';
import type {Clock} from '@banyandrum/base/clock.js';
import type {Emit, EventFields} from '@banyandrum/dispatch/events.js';
import type {Route, RoutingConfig} from '@banyandrum/routing/config.js';
import type {ConfigStatus} from './config-keeper.js';
import {countedDelayMs, type ReadDelay} from './read-delay.js';
import {statusOfFailure, type FrontendResponse} from './write-response.js';

/** The outcome of a request, for metrics. */
export interface RequestOutcome {
  /** Null if no route matched. */
  readonly route: string | null;
  readonly status: number;
  /** `answered`, `rejected`, or the failure's code. */
  readonly outcome: string;
  readonly tookMs: number;
  /** How long it may have waited unread, in ms. */
  readonly readDelayMs: number;
  /** Set if this router refused it before it looked for a server. */
  readonly refusal: IntakeRefusal | null;
}

/** Why a router refuses a request before it looks for a server. */
export type IntakeRefusal =
  /** It knows no configuration, or not which requests are quarantined. */
  | 'starting'
  /** The process ends, perhaps before a server would answer. */
  | 'stopping'
  /** Too many requests are open. */
  | 'request-limit'
  /** The event loop has lagged for a while. */
  | 'loop-lag'
  /** It was read after its caller's time limit. */
  | 'read-late'
  /** The bodies of all requests take too much memory. */
  | 'body-memory'
  /** Its path is unknown, but the configuration may be outdated. */
  | 'config-age';

/** What is known of a request as it is handled. */
export interface RequestContext {
  readonly id: string;
  readonly readAt: number;
  readonly delay: ReadDelay;
  readonly signal: CancelSignal;
  /** Null until a route is matched. */
  route: Route | null;
  /** Estimated time for which the caller had been retrying already, in ms. */
  askedMs: number;
  /** Why this router refused it before it looked for a server. */
  refusal: IntakeRefusal | null;
  /** Monotonic time by which its caller expects the answer, in ms. */
  callerDeadline: number;
  /** Whether it has less time than its caller, since the process ends. */
  isShortened: boolean;
}

/** What the lines and metrics of requests are written with. */
export interface RequestLogConfig {
  readonly clock: Clock;
  readonly emit: Emit;
  config(): RoutingConfig | null;
  configStatus(): ConfigStatus;
  /** Monotonic time at which this router was told to stop; null before that. */
  stoppingSince(): number | null;
  /** Records a finished request in the metrics. */
  recordRequest(outcome: RequestOutcome): void;
}

/**
 * Logs a request that has ended, and records it in the metrics. `isGone` tells
 * that its caller had left by then.
 *
 * @example
 * ```ts
 * logRequest(cfg, context, response, false);
 * ```
 */
export function logRequest(
  state: RequestLogConfig,
  context: RequestContext,
  response: FrontendResponse,
  isGone: boolean,
): void {
  const {id, readAt, delay, route, askedMs} = context;
  const tookMs = Math.round(state.clock.now() - readAt);
  const {status, outcome, verdict, server} = summarize(response);
  const {refusal} = context;
  const routeName = route?.name ?? null;
  state.recordRequest({
    ...{route: routeName, status, outcome, tookMs},
    readDelayMs: countedDelayMs(delay.ms),
    refusal,
  });
  state.emit('request', {
    ...{id, route: routeName, status, outcome, verdict, server, tookMs},
    config: state.config()?.version ?? null,
    ...(response.kind === 'rejected' && configFields(state.configStatus())),
    ...(refusal !== null && {why: refusal}),
    ...(askedMs > 0 && {askedMs}),
    ...(countedDelayMs(delay.ms) > 0 && delayFields(delay)),
    ...(isGone && {isGone}),
    ...stopFields(context, state.stoppingSince()),
  });
}

/** Tells how the stop of this router bore on the request. */
function stopFields(
  {readAt, signal, isShortened}: RequestContext,
  stoppingSince: number | null,
): EventFields {
  if (stoppingSince === null) return {};
  return {
    readAfterStopMs: Math.round(readAt - stoppingSince),
    ...(isShortened && {isShortened}),
    ...(signal.reason === STOPPING && {isBrokenOff: true}),
  };
}

/** Tells how long the request may have waited unread. */
function delayFields({ms, by}: ReadDelay): EventFields {
  return {readDelayMs: Math.round(ms), readDelayBy: by};
}

/** Tells how up to date the configuration was that a request was refused by. */
function configFields({ageMs, confirmedBy}: ConfigStatus): EventFields {
  return {configAgeMs: Math.round(ageMs), configBy: confirmedBy};
}

interface ResponseSummary {
  readonly status: number;
  readonly outcome: string;
  readonly verdict?: string;
  readonly server?: string;
}

function summarize(response: FrontendResponse): ResponseSummary {
  if (response.kind === 'answer') {
    const {answer: serverAnswer, server} = response;
    return {status: serverAnswer.status, outcome: 'answered', server};
  }
  if (response.kind === 'rejected') {
    return {status: response.status, outcome: 'rejected'};
  }
  const {code, verdict} = response.failure;
  return {status: statusOfFailure(response.failure), outcome: code, verdict};
}
