import type {AttemptResult} from './attempt.js';
import type {Backend} from './backend.js';
import type {ForwardRequest} from './forward-state.js';
import type {SlotOutcome} from './slots.js';
import type {CrashDetector} from './crash-detector.js';
import type {Standing, StruckRequest} from './suspect.js';
import type {Suspects} from './suspects.js';

/** Keeps requests that crash servers from being sent to further servers. */
export interface Quarantine {
  standingOf(req: ForwardRequest): Standing;
  /**
   * Records the result of an attempt. Resolves once it is known whether the
   * server crashed, or after a short timeout.
   */
  noteAttempt(attempt: QuarantineAttempt): Promise<void>;
}

/** A finished attempt. */
export interface QuarantineAttempt {
  readonly req: ForwardRequest;
  readonly backend: Backend;
  readonly result: AttemptResult;
  readonly isTrial: boolean;
  /** Outcome that is reported when the slot is released. */
  readonly slotOutcome: SlotOutcome;
  /** Monotonic time at which the request was sent, in ms. */
  readonly sentAt: number;
}

/**
 * Creates the quarantine, which adds strikes to requests whose server crashed.
 *
 * @example
 * ```ts
 * const quarantine = createQuarantine(suspects, crashDetector);
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
    async noteAttempt({req, backend, result, isTrial, slotOutcome, sentAt}) {
      const {id} = backend.info;
      if (result.kind === 'answered') {
        // A refusal may come from another instance at the same address, and an
        // error from before the server started to run the request.
        if (slotOutcome !== 'answered') return;
        suspects.noteAlive(id, sentAt);
        if (!suspects.isEmpty()) suspects.clearAnswered(req.contents());
        return;
      }
      if (!result.isWritten) return;
      const onCrash = (): void =>
        suspects.addStrike(toStruckRequest(req), id, isTrial);
      if (result.reason === 'cancelled')
        return crashDetector.requestCancelled(backend, onCrash);
      if (result.reason === 'connection-lost')
        await crashDetector.connectionLost(backend, onCrash);
    },
  };
}

function toStruckRequest(req: ForwardRequest): StruckRequest {
  const {contents, caller, service, route} = req;
  return {contents: contents(), caller, service, route: route.name};
}
