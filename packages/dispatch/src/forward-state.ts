import {STOPPING, type CancelSignal} from '@banyandrum/base/cancel.js';
import type {Clock} from '@banyandrum/base/clock.js';
import {failure, type Failure} from '@banyandrum/base/failure.js';
import type {Route} from '@banyandrum/routing/config.js';
import type {TimeModel} from '@banyandrum/service-times/time-model.js';
import type {Answer} from './attempt.js';
import type {Carriers} from './carriers.js';
import type {ContentDigests} from './content-digests.js';
import type {Backend} from './backend.js';
import type {Backends} from './backends.js';
import type {RequestLimits} from './cold-limits.js';
import type {Emit} from './events.js';
import type {Owners} from './owners.js';
import type {SlotProvider} from './slots.js';
import type {Quarantine} from './quarantine.js';
import type {RetryBudget} from './retry-budget.js';
import type {RetryOutcome} from './retry-decision.js';
import type {RouterTotal} from './router-total.js';
import type {ServerPaths} from './server-paths.js';
import type {ServerSignalsConfig} from './server-signals.js';
import type {Standing} from './suspect.js';

/** A caller's request, as it is sent to a backend server. */
export interface ForwardRequest {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  /** Alternating names and values, without the headers set for each attempt. */
  readonly headers: readonly string[];
  readonly body: Buffer | null;
  /** IP address of the caller. */
  readonly caller: string;
  /** Returns the content digests, which are computed on the first call. */
  readonly contents: () => ContentDigests;
  readonly route: Route;
  readonly service: string;
  /** Null if the service isn't partitioned by key. */
  readonly key: number | null;
  /**
   * Monotonic time at which the caller first sent the request, in ms; the
   * arrival time unless an earlier one is known.
   */
  readonly firstAskedAt: number;
  /** Monotonic time by which the caller must receive the answer, in ms. */
  readonly deadline: number;
  /** Aborted when the request ends, also while a server works on it. */
  readonly signal: CancelSignal;
  /**
   * Aborted when the request must not be sent to a server any more; one that
   * works on it may answer. Also aborted with `signal`.
   */
  readonly sendSignal: CancelSignal;
}

/** Reply to the caller: a server's answer, or the reason why there is none. */
export type Reply =
  | {readonly kind: 'answer'; readonly answer: Answer; readonly server: string}
  | {readonly kind: 'failure'; readonly failure: Failure};

/** Dependencies of `forward`. */
export interface ForwardConfig extends ServerSignalsConfig {
  readonly backends: Backends;
  readonly owners: Owners;
  readonly slotProvider: SlotProvider;
  /** Limits of servers that this router chooses without a leader. */
  readonly requestLimits: Pick<RequestLimits, 'takeShareToken'>;
  readonly paths: ServerPaths;
  readonly carriers: Carriers;
  readonly dataCentre: string;
  /** The region of a data centre; null if it is unknown. */
  readonly regionOf: (dataCentre: string) => string | null;
  readonly budget: RetryBudget;
  /** Counts a decision on a retry, for the metrics. */
  readonly recordRetry: (service: string, outcome: RetryOutcome) => void;
  readonly quarantine: Quarantine;
  /** Called with each answer before it counts in the server's service time. */
  readonly onAnswer?: (backend: Backend, tookMs: number) => void;
  /** Learns the times of answers; absent if times aren't kept by route. */
  readonly times?: Pick<TimeModel, 'record'>;
  readonly clock: Clock;
  readonly emit: Emit;
  readonly routers: RouterTotal;
  /** Hash of a caller's address; absent if callers aren't told apart. */
  readonly hashCaller?: (address: string) => number;
  /**
   * Retry delay for callers whose request only a leader could serve while there
   * is none, in ms.
   */
  readonly leaderlessRetryMs: () => number;
  /**
   * Resolves once this process has read what arrived during a pause, such as
   * the close of a caller's connection; null if there was no pause.
   */
  readonly catchUp: (signal: CancelSignal) => Promise<void> | null;
}

/** State of a request across its attempts. */
export interface ForwardState {
  readonly cfg: ForwardConfig;
  readonly req: ForwardRequest;
  /** Monotonic time at which this router began to look for a server, in ms. */
  readonly startedAt: number;
  /** Attempts that a server ran or may have run. */
  possibleRuns: number;
  /** Attempts that were written to a server, including refused ones. */
  sentCount: number;
  /** Attempts, including those that reached no server. */
  attemptCount: number;
  /** Whether a server could be reached neither from here nor by another way. */
  hasFoundNoWay: boolean;
  /** Whether a server's answer exceeded the limits of answers. */
  hadTooLargeAnswer: boolean;
  /** Servers that must not be chosen again. */
  readonly excluded: Set<string>;
  /** Set if an attempt's outcome is unknown or its answer can't be returned. */
  unknownOutcome: Failure | null;
  /** Error answer from a server, returned if no further attempt succeeds. */
  serverFailure: Reply | null;
  /** Delay after which a refused caller should retry, in ms. */
  retryAfterMs: number;
  /** Reason for a `not-run` reply. */
  cause:
    | 'overloaded'
    | 'no-owner'
    | 'refused'
    | 'quarantined'
    | 'unreachable'
    | 'evacuated';
}

/** Minimum time left to the deadline for sending a request, in ms. */
export const MIN_SEND_MS = 20;

const CAUSE_DETAILS: Readonly<Record<ForwardState['cause'], string>> = {
  overloaded: 'no server has room for the request in time',
  'no-owner': 'no server owns the key at present',
  refused: 'the server refused the request',
  quarantined: 'servers crashed while running the request',
  evacuated: 'all data centres with servers of the service are evacuated',
  unreachable: 'this router can reach no server that could run the request',
};

/**
 * Retry delay of quarantined requests, in ms. They are refused until an
 * operator clears them, so there is no point in retrying earlier.
 */
const QUARANTINED_RETRY_MS = 60_000;
/**
 * Retry delay of suspected requests, which may be sent as a trial soon, in ms.
 */
const SUSPECTED_RETRY_MS = 1_000;

/** Retry delay of requests that this router ends; another can serve them. */
const STOPPING_RETRY_MS = 40;

/**
 * Sets cause and retry delay for refusing a suspected or quarantined request.
 */
export function refuseAsQuarantined(
  state: ForwardState,
  standing: Standing,
): void {
  state.cause = 'quarantined';
  state.retryAfterMs =
    standing === 'quarantined' ? QUARANTINED_RETRY_MS : SUSPECTED_RETRY_MS;
}

/** Returns the reply to the caller if no further attempt is made. */
export function finalReply(state: ForwardState): Reply {
  const {req} = state;
  if (state.serverFailure !== null) return state.serverFailure;
  if (state.unknownOutcome !== null) return failureReply(state.unknownOutcome);
  if (req.sendSignal.aborted) return failureReply(cancelledFailure(req));
  const {cause, retryAfterMs} = state;
  return failureReply(
    failure('not-run', cause, CAUSE_DETAILS[cause], retryAfterMs),
  );
}

/** Why a request that no server has got was cancelled. */
function cancelledFailure({sendSignal}: ForwardRequest): Failure {
  return sendSignal.reason === STOPPING
    ? failure('not-run', 'stopping', 'this router stops', STOPPING_RETRY_MS)
    : failure('not-run', 'cancelled', 'the caller cancelled the request');
}

/** Wraps a failure in a reply. */
export function failureReply(reason: Failure): Reply {
  return {kind: 'failure', failure: reason};
}
