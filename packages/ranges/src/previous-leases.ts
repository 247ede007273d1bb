import {callGrant, takeNewFence} from './call-grant.js';
import type {LeaderState} from './leader-state.js';
import type {LeaseCallResult} from './lease-client.js';
import type {RangeLease} from './range-lease.js';

/** Delay before the next attempt after a renewal that had no effect, in ms. */
const RETRY_DELAY_MS = 150;

/**
 * Renews the leases that a lease replaces, while it isn't stored. Otherwise
 * they would expire during an outage of the store, and their keys would be
 * without a server although nothing is lost.
 */
export function renewPrevious(
  leader: LeaderState,
  {previous}: RangeLease,
  now: number,
): void {
  for (const lease of previous) {
    if (lease.pendingCall !== null || now < lease.renewAt) continue;
    lease.pendingCall = renew(leader, lease).finally(() => {
      lease.pendingCall = null;
    });
  }
}

/**
 * Resolves once no renewal of the leases that `lease` replaces is in flight.
 * Their fences are lower: a server that gets one of them after the new fence
 * answers as if another leader had begun.
 */
export async function settlePrevious(
  leader: LeaderState,
  lease: RangeLease,
): Promise<void> {
  const {previous} = lease;
  lease.previous = [];
  await Promise.all(previous.map(({pendingCall}) => pendingCall));
  const fences = previous.map(({assignment}) => assignment.fence);
  // The renewals may have needed new fences.
  if (Math.max(...fences) > lease.assignment.fence) takeNewFence(leader, lease);
  for (const {expiresAt, lateGrantUntil, lateRenewalUntil} of previous) {
    lease.expiresAt = Math.max(lease.expiresAt, expiresAt);
    lease.lateGrantUntil = Math.max(lease.lateGrantUntil, lateGrantUntil);
    lease.lateRenewalUntil = Math.max(lease.lateRenewalUntil, lateRenewalUntil);
  }
}

async function renew(leader: LeaderState, lease: RangeLease): Promise<void> {
  const sentAt = leader.clock.now();
  const {kind} = await callGrant(leader, lease);
  const now = leader.clock.now();
  lease.renewAt =
    kind === 'done'
      ? sentAt + leader.timing.renewAfterMs
      : now + RETRY_DELAY_MS;
  OUTCOME_HANDLERS[kind](leader, lease, now);
}

const OUTCOME_HANDLERS: Readonly<
  Record<
    LeaseCallResult['kind'],
    (leader: LeaderState, lease: RangeLease, now: number) => void
  >
> = {
  done({timing}, lease, now) {
    lease.expiresAt = Math.max(timing.expiryOf(now), lease.lateGrantUntil);
  },
  unproved({timing}, lease, now) {
    lease.lateGrantUntil = timing.expiryOf(now);
    lease.expiresAt = Math.max(lease.expiresAt, lease.lateGrantUntil);
  },
  unsent: () => undefined,
  // The lease that replaces it finds that out, too.
  replaced: () => undefined,
  fenced: leader => leader.onFenced(),
};
