import type {CompletedAttempt} from '@banyandrum/dispatch/completed-attempt.js';
import type {Emit} from '@banyandrum/dispatch/events.js';
import type {WireNames} from '@banyandrum/dispatch/wire.js';

/** How the answers to lease calls were matched to their calls. */
export type LeaseAnswerMatch =
  /** By the id of the call. */
  | 'by-id'
  /** By their place on the connection: the server returns no ids. */
  | 'by-place'
  /** A late answer, or a copy of one, to another call. */
  | 'mismatched';

/** Counts the answers to lease calls. */
export interface LeaseAnswers {
  note(outcome: CompletedAttempt): void;
  counts(): Readonly<Record<LeaseAnswerMatch, number>>;
}

/** Limit of remembered servers. */
const MAX_REMEMBERED = 10_000;

/**
 * Creates the counts. The first answer of each server without an id is logged,
 * and each that belongs to another call.
 *
 * @example
 * ```ts
 * const leaseAnswers = createLeaseAnswers(names, emit);
 * platform.subscribeLeaseCallOutcomes(leaseAnswers.note);
 * ```
 */
export function createLeaseAnswers(names: WireNames, emit: Emit): LeaseAnswers {
  const counts = {'by-id': 0, 'by-place': 0, mismatched: 0};
  const withoutIds = new Set<string>();
  return {
    note({server, result}) {
      const match = matchOf(names, result);
      if (match === null) return;
      counts[match]++;
      if (match === 'mismatched') emit('lease-answer-mismatched', {server});
      if (match !== 'by-place' || withoutIds.has(server)) return;
      if (withoutIds.size >= MAX_REMEMBERED) withoutIds.clear();
      withoutIds.add(server);
      emit('lease-answer-without-id', {server});
    },
    counts: () => counts,
  };
}

function matchOf(
  names: WireNames,
  result: CompletedAttempt['result'],
): LeaseAnswerMatch | null {
  if (result.kind === 'answered')
    return result.answer.fields.has(names.requestId) ? 'by-id' : 'by-place';
  return result.reason === 'mismatched' ? 'mismatched' : null;
}
