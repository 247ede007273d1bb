import {toEventFields, type LeaderState} from './leader-state.js';
import type {LeaseCallResult, SessionLost} from './lease-client.js';
import type {RangeLease} from './range-lease.js';

/**
 * Sends a grant or renewal of the lease. If the server may have restarted since
 * it accepted the lease's fence, the lease gets a new fence first. That needs no
 * write of the table: later leaders use higher fences whatever it says.
 *
 * @example
 * ```ts
 * const result = await callGrant(leader, lease);
 * ```
 */
export async function callGrant(
  leader: LeaderState,
  lease: RangeLease,
): Promise<LeaseCallResult> {
  const result = await send(leader, lease);
  if (result.kind === 'session-lost') {
    takeNewFence(leader, lease);
    leader.emit('range-refenced', toEventFields(lease.assignment));
    // The term may have ended while the client looked for a connection.
    if (leader.isStopped || !leader.mayAct()) return {kind: 'unsent'};
    return callGrant(leader, lease);
  }
  if (result.kind === 'done') noteDone(leader, lease, result.mayBeCopy);
  // The server may have accepted the fence; no connection shows by which process.
  if (result.kind === 'unproved') lease.fenceAcceptedAt ??= -Infinity;
  return result;
}

function noteDone(
  {clock, timing}: LeaderState,
  lease: RangeLease,
  mayBeCopy: boolean,
): void {
  const isNewFence = lease.fenceAcceptedAt === null;
  lease.fenceAcceptedAt = clock.now();
  if (mayBeCopy) {
    lease.lateRenewalUntil = timing.expiryOf(clock.now());
    return;
  }
  // A server that has accepted this fence rejects earlier leaders, so from now on
  // only this leader can renew the lease, and not with an earlier fence.
  lease.earlierLeaderGrantUntil = 0;
  if (isNewFence) lease.lateRenewalUntil = 0;
}

function send(
  {leaseClient, timing}: LeaderState,
  {assignment, fenceAcceptedAt}: RangeLease,
): Promise<LeaseCallResult | SessionLost> {
  const {leaseMs, grantTimeoutMs} = timing;
  const args = [assignment, leaseMs, grantTimeoutMs] as const;
  return fenceAcceptedAt === null
    ? leaseClient.grant(...args)
    : leaseClient.renew(...args, fenceAcceptedAt);
}

/** Gives the lease a fence above all that this leader has used. */
export function takeNewFence(leader: LeaderState, lease: RangeLease): void {
  lease.assignment = {...lease.assignment, fence: leader.nextFence()};
  lease.fenceAcceptedAt = null;
}
