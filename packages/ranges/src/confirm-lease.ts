import {
  emitCallResult,
  saveAssignments,
  toEventFields,
  type LeaderState,
} from './leader-state.js';
import {createRangeLease, type RangeLease} from './range-lease.js';
import type {LeaseCallResult} from './lease-client.js';

/** Delay between two confirmation calls, in ms. */
const RETRY_DELAY_MS = 150;

/**
 * Confirms a `remembered` assignment: renews its lease with the fence of this
 * router's term before the store was restored. Another leader, whose term the
 * restore removed from the store, moves a range only after its server has seen
 * that leader's higher fence, and can't store a move after the restore. A
 * server that still accepts the old fence is therefore the only lease holder.
 */
export function confirmLease(
  leader: LeaderState,
  lease: RangeLease,
  now: number,
): void {
  // Other routers rely on this router's previous term not acting after this.
  if (leader.suspendAwareNow() >= lease.confirmDeadline)
    return markUnknown(lease);
  if (now < lease.renewAt || lease.pendingCall !== null) return;
  lease.pendingCall = sendConfirmation(leader, lease).finally(() => {
    lease.pendingCall = null;
  });
}

async function sendConfirmation(
  leader: LeaderState,
  lease: RangeLease,
): Promise<void> {
  if (leader.isStopped || !leader.mayAct()) return;
  if (leader.suspendAwareNow() >= lease.confirmDeadline) return;
  const {assignment} = lease;
  const {leaseMs, grantTimeoutMs} = leader.timing;
  const result = await leader.leaseClient.grant(
    assignment,
    leaseMs,
    grantTimeoutMs,
  );
  if (result.kind !== 'done')
    emitCallResult(leader, 'confirm-failed', assignment, result);
  lease.renewAt = leader.clock.now() + RETRY_DELAY_MS;
  const isUnproved = result.kind === 'done' && result.mayBeCopy;
  CONFIRM_RESULT_HANDLERS[isUnproved ? 'unproved' : result.kind](leader, lease);
}

type ConfirmResultHandler = (leader: LeaderState, lease: RangeLease) => void;

const CONFIRM_RESULT_HANDLERS: Readonly<
  Record<LeaseCallResult['kind'], ConfirmResultHandler>
> = {
  done(leader, lease) {
    const {expiresAt, earlierLeaderGrantUntil, assignment, isServed} = lease;
    const now = leader.clock.now();
    const refenced = {...assignment, fence: leader.nextFence()};
    // Until the server has seen the new fence, it still accepts calls from a
    // leader whose term the restore removed.
    const carriedOver = {isServed: true, expiresAt, earlierLeaderGrantUntil};
    Object.assign(lease, createRangeLease(refenced, now), carriedOver);
    if (!isServed) {
      leader.emit('range-held', toEventFields(lease.assignment));
      leader.onChange();
    }
    void saveAssignments(leader, [lease]);
  },
  unproved(leader, lease) {
    const expiresAt = leader.timing.expiryOf(leader.clock.now());
    lease.expiresAt = Math.max(lease.expiresAt, expiresAt);
  },
  unsent: () => undefined,
  replaced: (_leader, lease) => markUnknown(lease),
  fenced: (_leader, lease) => markUnknown(lease),
};

/**
 * Gives up on confirming the assignment. The range is moved once every lease
 * that may exist on it has expired.
 */
function markUnknown(lease: RangeLease): void {
  lease.source = 'unknown';
}
