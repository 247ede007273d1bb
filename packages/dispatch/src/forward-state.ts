import type {CancelSignal} from '@banyandrum/base/cancel.js';
import type {Clock} from '@banyandrum/base/clock.js';
import {failure, type Failure} from '@banyandrum/base/failure.js';
import type {Route} from '@banyandrum/routing/config.js';
import type {Answer} from './attempt.js';
import type {ContentDigests} from './content-digests.js';
import type {Backends} from './backends.js';
import type {Emit} from './events.js';
import type {Owners} from './owners.js';
import type {SlotProvider} from './slots.js';
import type {Quarantine} from './quarantine.js';
import type {RetryBudget} from './retry-budget.js';
import type {ServerLimits} from './server-limits.js';
import type {ServerRests} from './server-rests.js';
import type {Standing} from './suspect.js';
import type {WireNames} from './wire.js';

/** A caller's request, as it goes to a backend server. */
export interface ForwardRequest {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  /** Names and values in turn, without those that each attempt sets. */
  readonly headers: readonly string[];
  readonly body: Buffer | null;
  /** Who asks, by IP number. */
  readonly caller: string;
  /** The digests of what it asks, made when they are wanted first. */
  readonly contents: () => ContentDigests;
  readonly route: Route;
  readonly service: string;
  /** Null where the service isn't divided by key. */
  readonly key: number | null;
  /** Monotonic time at which its caller asked first, as far as is known, ms. */
  readonly firstAskedAt: number;
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
  readonly slotProvider: SlotProvider;
  readonly dataCentre: string;
  readonly budget: RetryBudget;
  readonly quarantine: Quarantine;
  readonly limits: ServerLimits;
  readonly rests: ServerRests;
  /** Called when an answer reports that its server is shutting down. */
  readonly noteLeaving: (server: string) => void;
  readonly names: WireNames;
  readonly clock: Clock;
  readonly emit: Emit;
  /** Routers that share the servers. */
  readonly routerCount: () => number;
}

/** A request's way through its attempts. */
export interface ForwardState {
  readonly cfg: ForwardConfig;
  readonly req: ForwardRequest;
  /** Servers that may have run it. */
  possibleRuns: number;
  /** Requests written, those refused included. */
  sentCount: number;
  /** Attempts, those that reached nobody included. */
  attemptCount: number;
  /** Not to be chosen again. */
  readonly excluded: Set<string>;
  /** Set when it was written and nobody can tell the outcome. */
  unknownOutcome: Failure | null;
  /** A server's own failure, given back where nothing better comes. */
  serverFailure: Reply | null;
  /** When the caller should come back after a refusal, in ms. */
  retryAfterMs: number;
  /** Why it was not run, where that is what becomes of it. */
  cause: 'overloaded' | 'no-owner' | 'refused' | 'quarantined';
}

/** Less time than this is not worth sending a request for, in ms. */
export const MIN_SEND_MS = 20;

const CAUSE_DETAILS: Readonly<Record<ForwardState['cause'], string>> = {
  overloaded: 'no server has room in time',
  'no-owner': 'no server holds the key now',
  refused: 'the server turned it away',
  quarantined: 'servers ended under it',
};

/**
 * A request under which servers ended comes back to the same answer, until an
 * operator clears it: its caller need not ask sooner than that, in ms.
 */
const QUARANTINED_RETRY_MS = 60_000;
/** One that is only suspected may be tried by then, in ms. */
const SUSPECTED_RETRY_MS = 1_000;

/** Ends the journey of a request under which servers ended. */
export function refuseAsQuarantined(
  journey: ForwardState,
  standing: Standing,
): void {
  journey.cause = 'quarantined';
  journey.retryAfterMs =
    standing === 'quarantined' ? QUARANTINED_RETRY_MS : SUSPECTED_RETRY_MS;
}

/** What the caller gets where no further attempt will be made. */
export function finalReply(journey: ForwardState): Reply {
  const {req} = journey;
  if (journey.serverFailure !== null) return journey.serverFailure;
  if (journey.unknownOutcome !== null)
    return failureReply(journey.unknownOutcome);
  if (req.signal.aborted) {
    return failureReply(failure('not-run', 'cancelled', 'the caller gave up'));
  }
  const {cause, retryAfterMs} = journey;
  return failureReply(
    failure('not-run', cause, CAUSE_DETAILS[cause], retryAfterMs),
  );
}

/** The reply that tells a failure. */
export function failureReply(reason: Failure): Reply {
  return {kind: 'failure', failure: reason};
}
