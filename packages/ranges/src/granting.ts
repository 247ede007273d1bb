import type {RangeLease} from './live-holding.js';
import {emitCallResult, toEventFields, type LeaderState} from './lead-state.js';
import type {LeaseCallResult} from './orders.js';

/** Pause after a grant that reached nobody, in ms. */
const RETRY_DELAY_MS = 150;
/**
 * With less time than this until the lapse no further grant is tried, in ms:
 * the time of one that can't connect (400), the pause, and a release that
 * can't connect either. Keys of a lost server would wait for them after the
 * lapse: p99 without a server 4.7 s instead of 4.0 s (recovery.test.ts).
 */
const LAST_ATTEMPT_MS = 1_000;

/** Grants a holding once; an order that is under way already counts. */
export async function grantLease(lead: LeaderState, live: RangeLease): Promise<void> {
  if (live.pendingCall !== null) return live.pendingCall;
  live.pendingCall = sendGrant(lead, live).finally(() => {
    live.pendingCall = null;
  });
  await live.pendingCall;
}

async function sendGrant(lead: LeaderState, live: RangeLease): Promise<void> {
  if (lead.isStopped || !lead.mayAct()) return;
  const {assignment: holding} = live;
  const {leaseMs: holdMs, grantTimeoutMs: grantWithinMs} = lead.timing;
  const sentAt = lead.clock.now();
  const end = await lead.leaseClient.grant(holding, holdMs, grantWithinMs);
  const now = lead.clock.now();
  if (end.kind !== 'done') emitCallResult(lead, 'grant-failed', holding, end);
  GRANT_RESULT_HANDLERS[end.kind](lead, live, {sentAt, now});
}

interface GrantTimes {
  readonly sentAt: number;
  readonly now: number;
}

type GrantResultHandler = (lead: LeaderState, live: RangeLease, times: GrantTimes) => void;

const GRANT_RESULT_HANDLERS: Readonly<Record<LeaseCallResult['kind'], GrantResultHandler>> = {
  done(lead, live, {sentAt, now}) {
    // The first answer to this fence shuts earlier leaders out, so from here
    // on the hold is this leader's alone.
    live.earlierLeaderGrantUntil = 0;
    live.expiresAt = Math.max(lead.timing.expiryOf(now), live.lateGrantUntil);
    live.renewAt = sentAt + lead.timing.renewAfterMs;
    if (live.isServed || live.phase !== 'held') return;
    live.isServed = true;
    lead.emit('range-held', toEventFields(live.assignment));
    lead.onChange();
  },
  unproved(lead, live, {now}) {
    live.lateGrantUntil = lead.timing.expiryOf(now);
    live.expiresAt = Math.max(live.expiresAt, live.lateGrantUntil);
    live.renewAt = now;
  },
  unsent(lead, live, {now}) {
    live.renewAt = now + RETRY_DELAY_MS;
    if (now >= live.expiresAt - LAST_ATTEMPT_MS) lead.reassign(live, 'lapsed');
  },
  replaced(lead, live, {now}) {
    live.expiresAt = now;
    lead.reassign(live, 'ended');
  },
  fenced(lead, live, {now}) {
    live.renewAt = now + RETRY_DELAY_MS;
    lead.onFenced();
  },
};
