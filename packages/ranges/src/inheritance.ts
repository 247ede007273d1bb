import {storeEpochOfFence, storeEpochOfTerm} from './fence.js';
import type {RangeLease, AssignmentSource} from './range-lease.js';
import type {RangeAssignment, RangeTable} from './table.js';

/** An assignment that a new leader takes over. */
export interface InheritedAssignment {
  readonly assignment: RangeAssignment;
  readonly source: AssignmentSource;
  /** Whether requests may be sent to the server at once. */
  readonly isServed: boolean;
  /** See `RangeLease.confirmDeadline`. */
  readonly confirmDeadline: number;
}

/**
 * Returns the assignments that a leader takes over from a stored table. If an
 * assignment's fence belongs to an earlier store epoch, its source is
 * `unknown`: the range may have moved in a write that the restored store no
 * longer has.
 *
 * @example
 * ```ts
 * const inherited = inheritRecorded(table, termEpoch);
 * ```
 */
export function inheritRecorded(
  {assignments}: RangeTable,
  termEpoch: number,
): readonly InheritedAssignment[] {
  return assignments.map(assignment => ({
    assignment,
    source: isFromCurrentEpoch(assignment, termEpoch) ? 'recorded' : 'unknown',
    isServed: isFromCurrentEpoch(assignment, termEpoch),
    confirmDeadline: Infinity,
  }));
}

/** Whether the table was written after the store was last restored. */
export function isRecordedSinceRestore(
  {assignments}: RangeTable,
  termEpoch: number,
): boolean {
  return assignments.some(assignment =>
    isFromCurrentEpoch(assignment, termEpoch),
  );
}

function isFromCurrentEpoch(
  {fence}: RangeAssignment,
  termEpoch: number,
): boolean {
  return storeEpochOfFence(fence) === storeEpochOfTerm(termEpoch);
}

/**
 * Returns the assignments that a leader takes over from its own previous term
 * after a restore has removed that term's writes from the store. A new
 * assignment whose write was not acknowledged counts as `unknown`, because the
 * write may have succeeded. If none was carried out, leaders that the restore
 * removed know the previous assignment only. `authorityEndsAt` is when the
 * authority of that term ends, in ms on the suspend-aware clock.
 */
export function inheritRemembered(
  leases: readonly RangeLease[],
  authorityEndsAt: number,
): readonly InheritedAssignment[] {
  return leases.map(lease => {
    const {assignment, source, phase, isServed, movedFrom} = lease;
    const isUnacknowledged = phase === 'waiting' && !isServed;
    const isDoubtful = isUnacknowledged && movedFrom === null;
    const isKnown = source !== 'unknown' && !isDoubtful;
    return {
      assignment: movedFrom ?? assignment,
      source: isKnown ? 'remembered' : 'unknown',
      isServed: isKnown && isServed,
      confirmDeadline: Math.min(lease.confirmDeadline, authorityEndsAt),
    };
  });
}
