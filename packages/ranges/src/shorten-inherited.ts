import type {LeaderState} from './leader-state.js';
import {isConfirmed} from './range-lease.js';

/**
 * Shortens the leases that earlier leaders may have granted, once it is known
 * that these leaders act no longer. Leases that this leader granted keep their
 * expiry, and so do ranges whose stored assignment may be outdated.
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
    if (lease.source !== 'recorded' || isConfirmed(lease)) continue;
    if (lease.earlierLeaderGrantUntil <= expiresAt) continue;
    lease.earlierLeaderGrantUntil = expiresAt;
    lease.expiresAt = Math.max(expiresAt, lease.lateGrantUntil);
  }
}
