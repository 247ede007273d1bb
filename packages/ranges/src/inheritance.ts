import {storeEpochOfFence, storeEpochOfTerm} from './fence.js';
import type {RangeLease, AssignmentSource} from './live-holding.js';
import type {RangeAssignment, RangeTable} from './table.js';

/** A holding that a leader takes over, and what is known of its server. */
export interface InheritedAssignment {
  readonly assignment: RangeAssignment;
  readonly source: AssignmentSource;
  /** See `LiveHolding.confirmBy`. */
  readonly confirmDeadline: number;
}

/**
 * What a leader takes over from a table in the store. A holding whose fence is
 * of an earlier epoch of the store's history may have moved since, by a record
 * that the store lost.
 *
 * @example
 * ```ts
 * const inherited = inheritRecorded(table, termEpoch);
 * ```
 */
export function inheritRecorded(
  {assignments: holdings}: RangeTable,
  termEpoch: number,
): readonly InheritedAssignment[] {
  return holdings.map(assignment => ({
    assignment: assignment,
    source: isFromCurrentEpoch(assignment, termEpoch) ? 'recorded' : 'unknown',
    confirmDeadline: Infinity,
  }));
}

/** Whether a table was written since the store was restored last. */
export function isRecordedSinceRestore(
  {assignments: holdings}: RangeTable,
  termEpoch: number,
): boolean {
  return holdings.some(holding => isFromCurrentEpoch(holding, termEpoch));
}

function isFromCurrentEpoch({fence}: RangeAssignment, termEpoch: number): boolean {
  return storeEpochOfFence(fence) === storeEpochOfTerm(termEpoch);
}

/**
 * What a leader takes over from its own last term, which the store lost. A
 * holding that went to another server without a record is not known: the record
 * may have been written all the same. `actUntil` is when that term's authority
 * ends, in wakeful ms.
 */
export function inheritRemembered(
  lives: readonly RangeLease[],
  actUntil: number,
): readonly InheritedAssignment[] {
  return lives.map(live => {
    const {assignment: assignment, source: source, phase, isServed} = live;
    const isUnrecorded = phase === 'waiting' && !isServed;
    const isKnown = source !== 'unknown' && !isUnrecorded;
    return {
      assignment: assignment,
      source: isKnown ? 'remembered' : 'unknown',
      confirmDeadline: Math.min(live.confirmDeadline, actUntil),
    };
  });
}
