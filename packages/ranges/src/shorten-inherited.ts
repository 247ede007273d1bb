import type {LeaderState} from './leader-state.js';
import {isConfirmed, type RangeLease} from './range-lease.js';

/**
 * Shortens the leases that earlier leaders may have granted, once it is known
 * that these leaders act no longer. That includes those of ranges whose stored
 * assignment may be outdated: leaders from before a restore of the store are
 * earlier ones as well. Leases that this leader granted keep their expiry.
 *
 * @example
 * ```ts
 * shortenInheritedLeases(leader); // at each tick
 * ```
 */
export function shortenInheritedLeases(leader: LeaderState): void {
  const endAt = leader.earlierTermsActUntil();
  if (endAt >= leader.earlierTermsEndAt) return;
  leader.earlierTermsEndAt = endAt;
  const expiresAt = leader.timing.expiryOf(endAt);
  for (const lease of leader.leases) {
    if (lease.source === 'recorded') shortenRecorded(lease, expiresAt);
    if (lease.source === 'unknown') shortenUnknown(lease, expiresAt);
  }
}

function shortenRecorded(lease: RangeLease, expiresAt: number): void {
  if (isConfirmed(lease) || lease.earlierLeaderGrantUntil <= expiresAt) return;
  lease.earlierLeaderGrantUntil = expiresAt;
  lease.expiresAt = Math.max(expiresAt, lease.lateGrantUntil);
}

/**
 * One that this router remembered and could not confirm keeps its expiry, since
 * it may have been renewed by that attempt.
 */
function shortenUnknown(lease: RangeLease, expiresAt: number): void {
  if (lease.confirmDeadline < Infinity) return;
  lease.expiresAt = Math.min(lease.expiresAt, expiresAt);
}
