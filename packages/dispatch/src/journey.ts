import type {CancelSignal} from '@banyandrum/base/cancel.js';
import type {Clock} from '@banyandrum/base/clock.js';
import {failure, type Failure} from '@banyandrum/base/failure.js';
import type {Route} from '@banyandrum/routing/config.js';
import type {Answer} from './attempt.js';
import type {Contents} from './content.js';
import type {Backends} from './backends.js';
import type {Emit} from './events.js';
import type {Owners} from './owners.js';
import type {Places} from './places.js';
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
  readonly contents: () => Contents;
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
  readonly places: Places;
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
  readonly routers: () => number;
}

/** A request's way through its attempts. */
export interface Journey {
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
  /** Why it was not run, where that is what becomes of it. */
  cause: 'overloaded' | 'no-owner' | 'refused' | 'quarantined';
}

/** Less time than this is not worth sending a request for, in ms. */
export const MIN_SEND_MS = 20;

const CAUSES: Readonly<Record<Journey['cause'], string>> = {
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
export function turnAway(journey: Journey, standing: Standing): void {
  journey.cause = 'quarantined';
  journey.retryAfterMs =
    standing === 'quarantined' ? QUARANTINED_RETRY_MS : SUSPECTED_RETRY_MS;
}

/** What the caller gets where no further attempt will be made. */
export function giveUp(journey: Journey): Reply {
  const {req} = journey;
  if (journey.failed !== null) return journey.failed;
  if (journey.unproved !== null) return fail(journey.unproved);
  if (req.signal.aborted) {
    return fail(failure('not-run', 'cancelled', 'the caller gave up'));
  }
  const {cause, retryAfterMs} = journey;
  return fail(failure('not-run', cause, CAUSES[cause], retryAfterMs));
}

/** The reply that tells a failure. */
export function fail(reason: Failure): Reply {
  return {kind: 'failure', failure: reason};
}
