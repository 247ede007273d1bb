import type {RangeAssignment, KeyRange} from './table.js';

/** Origin of the leader's information on a range's assignment. */
export type AssignmentSource =
  /** Stored in the current store epoch. */
  | 'recorded'
  /**
   * Known from this router's own term before the store was restored; the fence
   * is of that term.
   */
  | 'remembered'
  /** The stored assignment may be outdated: another server may hold a lease. */
  | 'unknown';

/** An assignment with the state of its lease, as the leader tracks it. */
export interface RangeLease {
  assignment: RangeAssignment;
  source: AssignmentSource;
  /**
   * `waiting` until the assignment is stored, `held` once leases may be
   * granted, `moving` while the range is moved to another server.
   */
  phase: 'waiting' | 'held' | 'moving';
  /** Whether requests may be sent to the server. */
  isServed: boolean;
  /** Whether it moves as soon as that can be recorded. */
  isMoveDue: boolean;
  /**
   * The call in progress for this range, or null. Calls are made one at a time,
   * so that none overtakes another.
   */
  pendingCall: Promise<void> | null;
  /**
   * Monotonic time of the answer to the last accepted grant, in ms; -Infinity
   * before it.
   */
  grantedAt: number;
  /**
   * Monotonic time at which the server accepted the assignment's fence, in ms;
   * null while no grant with it was sent, and -Infinity if one had no answer.
   */
  fenceAcceptedAt: number | null;
  /** Monotonic time of the next grant or renewal, in ms. */
  renewAt: number;
  /**
   * Monotonic time by which the server's lease has certainly expired, in ms.
   */
  expiresAt: number;
  /**
   * Monotonic time until which a lease from an unanswered grant of this leader
   * may exist, in ms.
   */
  lateGrantUntil: number;
  /**
   * Monotonic time until which a lease from a renewal may exist whose answer may
   * have been a copy of another, in ms; 0 once the server has seen a fence above
   * that of the renewal.
   */
  lateRenewalUntil: number;
  /**
   * Monotonic time until which a lease granted by an earlier leader may exist,
   * in ms; 0 once the server has seen this leader's fence for the range.
   */
  earlierLeaderGrantUntil: number;
  /**
   * When this router's authority from its term before the restore ends, in ms
   * on the suspend-aware clock. A `remembered` assignment must be confirmed by
   * then.
   */
  confirmDeadline: number;
  /**
   * The assignment that it had before a move, while no write that has the
   * present one may have been carried out; otherwise null.
   */
  movedFrom: RangeAssignment | null;
  /**
   * The leases that it replaces at the same server. While its assignment isn't
   * stored, these are renewed in its place.
   */
  previous: readonly RangeLease[];
}

/** Creates the state of a new assignment, before its first grant. */
export function createRangeLease(
  assignment: RangeAssignment,
  now: number,
): RangeLease {
  return {
    assignment,
    source: 'recorded',
    phase: 'waiting',
    isServed: false,
    isMoveDue: false,
    pendingCall: null,
    grantedAt: -Infinity,
    fenceAcceptedAt: null,
    renewAt: now,
    expiresAt: now,
    lateGrantUntil: 0,
    lateRenewalUntil: 0,
    earlierLeaderGrantUntil: 0,
    confirmDeadline: Infinity,
    movedFrom: null,
    previous: [],
  };
}

/**
 * Whether the range is served, isn't moving, and has no grant with an unknown
 * outcome.
 */
export function isSettled(lease: RangeLease, now: number): boolean {
  const {phase, source, isServed, pendingCall, lateGrantUntil} = lease;
  if (phase !== 'held' || source !== 'recorded') return false;
  if (lease.isMoveDue || lease.previous.length > 0) return false;
  return isServed && pendingCall === null && lateGrantUntil <= now;
}

/**
 * Whether no lease granted by an earlier leader can exist on the range. Only
 * confirmed ranges are merged, since a merged one would keep the time of only one
 * earlier grant.
 */
export function isConfirmed({earlierLeaderGrantUntil}: RangeLease): boolean {
  return earlierLeaderGrantUntil === 0;
}

/** Creates the state of a part of a split range, still at the same server. */
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
    fenceAcceptedAt: null,
    renewAt: now,
    previous: [whole],
  };
}

/** Merges two adjacent ranges of one server into one. */
export function createMergedLease(
  left: RangeLease,
  right: RangeLease,
  fence: number,
  now: number,
): RangeLease {
  return {
    ...left,
    assignment: {
      ...left.assignment,
      to: right.assignment.to,
      fence,
      handover: null,
    },
    phase: 'waiting',
    pendingCall: null,
    fenceAcceptedAt: null,
    renewAt: now,
    previous: [left, right],
    expiresAt: Math.max(left.expiresAt, right.expiresAt),
    lateGrantUntil: Math.max(left.lateGrantUntil, right.lateGrantUntil),
    lateRenewalUntil: Math.max(left.lateRenewalUntil, right.lateRenewalUntil),
    earlierLeaderGrantUntil: Math.max(
      left.earlierLeaderGrantUntil,
      right.earlierLeaderGrantUntil,
    ),
  };
}
