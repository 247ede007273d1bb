import {grantLease} from './grant-lease.js';
import {
  runningKeysOf,
  saveAssignments,
  type LeaderState,
} from './leader-state.js';
import {createPartialLease, isSettled, type RangeLease} from './range-lease.js';
import type {KeyRange} from './table.js';

/**
 * Splits a range around the given parts of it, which are in order and don't
 * overlap. Resolves with the leases that replace it, in order, once the server
 * has been granted them; with none if this leader has been fenced off.
 *
 * @example
 * ```ts
 * const [left, part, right] = await splitLease(leader, lease, [range]);
 * ```
 */
export async function splitLease(
  leader: LeaderState,
  lease: RangeLease,
  parts: readonly KeyRange[],
): Promise<readonly RangeLease[]> {
  lease.phase = 'waiting';
  await lease.pendingCall;
  const now = leader.clock.now();
  const leases = withGaps(lease.assignment, parts).map(each =>
    createPartialLease(lease, each, leader.nextFence(), now),
  );
  replaceLeases(leader, [lease], leases);
  if (!(await saveAssignments(leader, leases))) return [];
  // The server must have seen a part's own fence before its release.
  await Promise.all(leases.map(each => grantLease(leader, each)));
  // While an unanswered grant was pending, others may have been merged again:
  // their keys belong to another lease now, which must not lose them.
  return leases.filter(each => leader.leases.includes(each));
}

/** The parts, and what lies between them in the range. */
function withGaps(
  {from, to}: KeyRange,
  parts: readonly KeyRange[],
): readonly KeyRange[] {
  const starts = [from, ...parts.map(part => part.to + 1)];
  const ends = [...parts.map(part => part.from - 1), to];
  return starts
    .flatMap((start, at) => {
      const gap = {from: start, to: ends[at]!};
      const part = parts[at];
      return part === undefined ? [gap] : [gap, part];
    })
    .filter(each => each.from <= each.to);
}

/**
 * Whether a range can change its server without a long time between the two: no
 * request runs for its keys, and no unanswered grant may still take effect.
 */
export function mayMoveAtOnce(leader: LeaderState, lease: RangeLease): boolean {
  const isIdle = runningKeysOf(leader, lease.assignment).length === 0;
  return isIdle && isSettled(lease, leader.clock.now());
}

/** Replaces adjacent leases by others for the same keys. */
export function replaceLeases(
  leader: LeaderState,
  previous: readonly RangeLease[],
  replacements: readonly RangeLease[],
): void {
  const at = leader.leases.indexOf(previous[0]!);
  leader.leases.splice(at, previous.length, ...replacements);
  leader.onChange();
}
