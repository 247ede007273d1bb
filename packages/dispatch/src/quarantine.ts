import type {AttemptResult} from './attempt.js';
import type {Backend} from './backend.js';
import type {ForwardRequest} from './forward-state.js';
import type {SlotOutcome} from './slots.js';
import type {CrashDetector} from './server-ends.js';
import type {Standing, StruckRequest} from './suspect.js';
import type {Suspects} from './suspects.js';

/** What keeps a request that ends servers from more of them. */
export interface Quarantine {
  standingOf(req: ForwardRequest): Standing;
  /**
   * Takes into account how a request's attempt at a server ended. Resolves
   * once it is known whether the server's run ended under it, or after a
   * moment.
   */
  noteAttempt(attempt: QuarantineAttempt): Promise<void>;
}

/** An attempt that came to its end. */
export interface QuarantineAttempt {
  readonly req: ForwardRequest;
  readonly backend: Backend;
  readonly result: AttemptResult;
  readonly isTrial: boolean;
  /** How it ended for whoever handed out its place. */
  readonly slotOutcome: SlotOutcome;
  /** Monotonic, in ms. */
  readonly sentAt: number;
}

/**
 * Watches over what becomes of servers under requests.
 *
 * @example
 * ```ts
 * const quarantine = createQuarantine(suspects, ends);
 * if (quarantine.standingOf(req) === 'quarantined') refuse(req);
 * ```
 */
export function createQuarantine(
  suspects: Suspects,
  crashDetector: CrashDetector,
): Quarantine {
  return {
    standingOf(req) {
      if (suspects.isEmpty()) return 'unknown';
      return suspects.standingOf(req.contents());
    },
    async noteAttempt({
      req,
      backend,
      result: result,
      isTrial,
      slotOutcome: slotOutcome,
      sentAt,
    }) {
      const {id} = backend.info;
      if (result.kind === 'answered') {
        // A refusal may be another run's, at the address of the one that ended;
        // a failure may come before the server began to run the request.
        if (slotOutcome !== 'answered') return;
        suspects.noteAlive(id, sentAt);
        if (!suspects.isEmpty()) suspects.clearAnswered(req.contents());
        return;
      }
      if (!result.isWritten) return;
      const strike = (): void =>
        suspects.addStrike(toStruckRequest(req), id, isTrial);
      if (result.reason === 'cancelled')
        return crashDetector.requestCancelled(backend, strike);
      if (result.reason === 'connection-lost')
        await crashDetector.connectionLost(backend, strike);
    },
  };
}

function toStruckRequest(req: ForwardRequest): StruckRequest {
  const {contents, caller, service, route} = req;
  return {contents: contents(), caller, service, route: route.name};
}
