import {emitCallResult, saveAssignments, type LeaderState} from './lead-state.js';
import {createRangeLease, type RangeLease} from './live-holding.js';
import type {LeaseCallResult} from './orders.js';

/** Pause between two questions to a server, in ms. */
const RETRY_DELAY_MS = 150;

/**
 * Asks a holding's server, by a renewal under the fence of this router's term
 * before the store was restored, whether nobody ordered it anything since. A
 * leader that the store forgot can have moved the range only after the server
 * had seen its higher fence, and it recorded that before the restore; so a
 * server that accepts the old fence afterwards still holds the range alone.
 */
export function confirmLease(lead: LeaderState, live: RangeLease, now: number): void {
  // Others count on this router's last term to act no longer.
  if (lead.suspendAwareNow() >= live.confirmDeadline) return markUnknown(live);
  if (now < live.renewAt || live.pendingCall !== null) return;
  live.pendingCall = sendConfirmation(lead, live).finally(() => {
    live.pendingCall = null;
  });
}

async function sendConfirmation(lead: LeaderState, live: RangeLease): Promise<void> {
  if (lead.isStopped || !lead.mayAct()) return;
  if (lead.suspendAwareNow() >= live.confirmDeadline) return;
  const {assignment: holding} = live;
  const {leaseMs: holdMs, grantTimeoutMs: grantWithinMs} = lead.timing;
  const end = await lead.leaseClient.grant(holding, holdMs, grantWithinMs);
  if (end.kind !== 'done') emitCallResult(lead, 'confirm-failed', holding, end);
  live.renewAt = lead.clock.now() + RETRY_DELAY_MS;
  CONFIRM_RESULT_HANDLERS[end.kind](lead, live);
}

type ConfirmResultHandler = (lead: LeaderState, live: RangeLease) => void;

const CONFIRM_RESULT_HANDLERS: Readonly<Record<LeaseCallResult['kind'], ConfirmResultHandler>> = {
  done(lead, live) {
    const {expiresAt: lapseAt, earlierLeaderGrantUntil: foreignUntil, assignment: holding} = live;
    const now = lead.clock.now();
    const own = {...holding, fence: lead.nextFence()};
    // Until the server has seen the new fence, it may obey a forgotten leader.
    const known = {isServed: true, lapseAt, foreignUntil};
    Object.assign(live, createRangeLease(own, now), known);
    void saveAssignments(lead, [live]);
  },
  unproved(lead, live) {
    const lapseAt = lead.timing.expiryOf(lead.clock.now());
    live.expiresAt = Math.max(live.expiresAt, lapseAt);
  },
  unsent: () => undefined,
  replaced: (_lead, live) => markUnknown(live),
  fenced: (_lead, live) => markUnknown(live),
};

/** Nobody is known to hold it; it moves once all holds have lapsed. */
function markUnknown(live: RangeLease): void {
  live.source = 'unknown';
}
