import type {RangeAssignment, KeyRange} from './table.js';

/** What a leader knows of a holding's server. */
export type AssignmentSource =
  /** Recorded in the store's present history. */
  | 'recorded'
  /**
   * Known from this router's term before the store was restored, under the
   * fence of that term.
   */
  | 'remembered'
  /** The record may be outdated: another server may hold the range. */
  | 'unknown';

/** A holding as its leader keeps it. */
export interface RangeLease {
  assignment: RangeAssignment;
  source: AssignmentSource;
  /** `waiting`: for its record; `moving`: to another server. */
  phase: 'waiting' | 'held' | 'moving';
  /** Whether requests may go to the server. */
  isServed: boolean;
  /** A grant is under way; orders on one holding must not overtake another. */
  pendingCall: Promise<void> | null;
  /** Monotonic time of the next grant, in ms. */
  renewAt: number;
  /** By this monotonic time the server's hold has surely ended, in ms. */
  expiresAt: number;
  /** Until then a grant without an answer may still be carried out, in ms. */
  lateGrantUntil: number;
  /**
   * Until then an earlier leader's grant may still be carried out, in ms; 0
   * once the server has seen a fence of this leader's for the range.
   */
  earlierLeaderGrantUntil: number;
  /**
   * A remembered holding must be confirmed by then, in wakeful ms: this router's
   * authority in its term before the restore ends.
   */
  confirmDeadline: number;
}

/** A holding that nobody has granted yet. */
export function createRangeLease(holding: RangeAssignment, now: number): RangeLease {
  return {
    assignment: holding,
    source: 'recorded',
    phase: 'waiting',
    isServed: false,
    pendingCall: null,
    renewAt: now,
    expiresAt: now,
    lateGrantUntil: 0,
    earlierLeaderGrantUntil: 0,
    confirmDeadline: Infinity,
  };
}

/** Whether the server surely holds it, and nothing is under way that moves it. */
export function isSettled(live: RangeLease, now: number): boolean {
  const {phase, source: standing, isServed, lateGrantUntil: unprovedUntil} = live;
  if (phase !== 'held' || standing !== 'recorded') return false;
  return isServed && unprovedUntil <= now;
}

/** A part of a holding that the same server goes on holding. */
export function createPartialLease(
  whole: RangeLease,
  {from, to}: KeyRange,
  fence: number,
  now: number,
): RangeLease {
  return {
    ...whole,
    assignment: {...whole.assignment, from, to, fence},
    phase: 'waiting',
    pendingCall: null,
    renewAt: now,
  };
}

/** Two neighbours of one server as one holding. */
export function createMergedLease(
  left: RangeLease,
  right: RangeLease,
  fence: number,
  now: number,
): RangeLease {
  return {
    ...left,
    assignment: {...left.assignment, to: right.assignment.to, fence, handover: null},
    phase: 'waiting',
    pendingCall: null,
    renewAt: now,
    expiresAt: Math.max(left.expiresAt, right.expiresAt),
    lateGrantUntil: Math.max(left.lateGrantUntil, right.lateGrantUntil),
    earlierLeaderGrantUntil: Math.max(left.earlierLeaderGrantUntil, right.earlierLeaderGrantUntil),
  };
}
