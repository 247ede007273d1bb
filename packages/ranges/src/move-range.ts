import {sleep} from '@banyandrum/base/clock.js';
import {loadByServer, NO_LOAD} from './assigned-load.js';
import {takeNewFence} from './call-grant.js';
import {grantLease} from './grant-lease.js';
import {
  emitCallResult,
  saveAssignments,
  toEventFields,
  type LeaderState,
  type ListedServer,
  type MoveReason,
} from './leader-state.js';
import {lateAnswersOf, type LateAnswers} from './late-answers.js';
import {createRangeLease, type RangeLease} from './range-lease.js';
import {utilization} from './server-speed.js';
import type {KeyRange} from './table.js';
import {RELEASE_TIMEOUT_MS} from './lease-timing.js';
import {settlePrevious} from './previous-leases.js';

/**
 * A range that could stay is moved only if the table was stored within this
 * time, in ms: while the store is away, the keys would have no server until its
 * return.
 */
const MAX_SAVE_AGE_MS = 100;
/** A write that took longer doesn't show that the next one succeeds, in ms. */
const MAX_WRITE_MS = 500;
/** Reasons for which a range moves although its server could keep it. */
const OPTIONAL_REASONS: ReadonlySet<MoveReason> = new Set([
  'load',
  'evacuated',
]);
/** Reasons for which the previous server can't confirm the range. */
const UNKNOWN_HOLDER_REASONS: ReadonlySet<MoveReason> = new Set([
  'free',
  'unknown',
  'ended',
]);
/** Interval at which a wait checks its condition, in ms. */
const POLL_INTERVAL_MS = 50;
/** Minimum timeout of a release call, in ms. */
const MIN_RELEASE_TIMEOUT_MS = 400;

/** Servers for a range with less load are compared at this rate, per second. */
const MIN_COMPARED_RATE = 0.15;
/** Weight of the utilization beside the share of late answers. */
const UTILIZATION_WEIGHT = 0.02;

/**
 * Moves a range to `preferredServer`, or to the least loaded server if there is
 * no preference or that server accepts no keys.
 */
export async function moveRange(
  leader: LeaderState,
  lease: RangeLease,
  reason: MoveReason,
  preferredServer: string | null = null,
): Promise<void> {
  if (lease.phase !== 'held') return;
  if (OPTIONAL_REASONS.has(reason) && leader.sinceSavedMs() > MAX_SAVE_AGE_MS) {
    if (!(await waitForStore(leader, lease))) return;
    // The range may have been merged or split during the wait.
    if (lease.phase !== 'held' || !leader.leases.includes(lease)) return;
  }
  lease.phase = 'moving';
  lease.isServed = false;
  leader.emit('range-leaves', {
    ...toEventFields(lease.assignment),
    why: reason,
    to: preferredServer,
  });
  leader.onWithdrawn();
  const startedAt = leader.clock.now();
  const handover = await reclaimRange(leader, lease, reason);
  const target = await chooseTarget(leader, lease, preferredServer);
  if (target === null) return;
  const {from, to} = lease.assignment;
  // The last calls may have needed another fence.
  const former = {...lease.assignment, handover};
  const now = leader.clock.now();
  const assignment = {
    ...{from, to, handover},
    ...{server: target.id, address: target.address},
    fence: leader.nextFence(),
  };
  const movedFrom = UNKNOWN_HOLDER_REASONS.has(reason) ? null : former;
  Object.assign(lease, createRangeLease(assignment, now), {movedFrom});
  const tookMs = Math.round(now - startedAt);
  leader.emit('range-assigned', {...toEventFields(lease.assignment), tookMs});
  if (await saveAssignments(leader, [lease])) await grantLease(leader, lease);
}

/**
 * Resolves with whether a move of the range can be recorded now. The range stays
 * with its server meanwhile.
 */
async function waitForStore(
  leader: LeaderState,
  lease: RangeLease,
): Promise<boolean> {
  if (lease.isMoveDue) return false;
  lease.isMoveDue = true;
  const isSaved = await leader.save();
  lease.isMoveDue = false;
  // After a long wait, the next plan decides anew.
  return isSaved && leader.sinceSavedMs() <= MAX_WRITE_MS;
}

/**
 * Resolves once no server holds a lease on the range, with the handover data of
 * the previous server, or null.
 */
async function reclaimRange(
  leader: LeaderState,
  lease: RangeLease,
  reason: MoveReason,
): Promise<string | null> {
  const {assignment} = lease;
  if (assignment.server === null) return assignment.handover;
  await lease.pendingCall;
  if (lease.previous.length > 0) await settlePrevious(leader, lease);
  if (reason === 'unknown') {
    await waitUntil(leader, () => lease.expiresAt);
    return null;
  }
  if (reason === 'ended') return null;
  await fenceOffLateGrants(leader, lease, reason);
  // Once the lease has expired, an answer is no longer needed; waiting longer
  // for an unresponsive server would only keep its keys unserved.
  const remainingMs = lease.expiresAt - leader.clock.now();
  const timeoutMs = Math.min(
    RELEASE_TIMEOUT_MS,
    Math.max(MIN_RELEASE_TIMEOUT_MS, remainingMs),
  );
  // The last calls may have needed another fence.
  const result = await leader.leaseClient.release(lease.assignment, timeoutMs);
  if (result.kind === 'replaced') return null;
  if (result.kind === 'done') {
    // An unanswered grant could still take effect after the release.
    await waitUntil(leader, () =>
      Math.max(
        ...[lease.lateGrantUntil, lease.lateRenewalUntil],
        lease.earlierLeaderGrantUntil,
      ),
    );
    return result.handover;
  }
  emitCallResult(leader, 'release-failed', assignment, result);
  await waitUntil(leader, () =>
    leader.hasEnded(assignment.server!) ? 0 : lease.expiresAt,
  );
  return null;
}

/**
 * Lets the server see a higher fence than that of grants and renewals that may
 * not have been carried out yet: those of an earlier leader, and those whose
 * answer may have been a copy of another. They could take effect after the
 * release. If the server has stopped answering, waiting for their expiry is
 * shorter than a further grant would be.
 */
async function fenceOffLateGrants(
  leader: LeaderState,
  lease: RangeLease,
  reason: MoveReason,
): Promise<void> {
  const now = leader.clock.now();
  const isAnswering = reason !== 'lapsed' && lease.lateGrantUntil <= now;
  const isRenewalLate = isAnswering && lease.lateRenewalUntil > now;
  if (isRenewalLate) takeNewFence(leader, lease);
  if (isRenewalLate || lease.earlierLeaderGrantUntil > 0)
    await grantLease(leader, lease);
}

async function waitUntil(
  leader: LeaderState,
  time: () => number,
): Promise<void> {
  while (!leader.isStopped && leader.clock.now() < time()) {
    await sleep(leader.clock, POLL_INTERVAL_MS);
  }
}

async function chooseTarget(
  leader: LeaderState,
  lease: RangeLease,
  preferredServer: string | null,
): Promise<ListedServer | null> {
  while (!leader.isStopped) {
    const servers = leader.servers().filter(({isOpen}) => isOpen);
    const preferred = servers.find(({id}) => id === preferredServer);
    if (preferred !== undefined) return preferred;
    if (servers.length > 0)
      return leastLoaded(leader, servers, lease.assignment);
    await sleep(leader.clock, POLL_INTERVAL_MS);
  }
  return null;
}

function leastLoaded(
  leader: LeaderState,
  servers: readonly ListedServer[],
  range: KeyRange,
): ListedServer {
  const addedRate = leader.load.rateOf(range);
  const loads = loadByServer(leader);
  const profile = leader.profile();
  const late = profile === null ? null : lateAnswersOf(profile);
  let best = servers[0]!;
  let lowestScore = Infinity;
  for (const server of servers) {
    const {rate, count} = loads.get(server.id) ?? NO_LOAD;
    // The count breaks ties between idle servers: the fewest ranges win.
    const added = {rate, addedRate};
    const score =
      count * 1e-3 +
      (late === null
        ? utilization(server, rate + addedRate)
        : lateShareAdded(late, server, added));
    if (score >= lowestScore) continue;
    best = server;
    lowestScore = score;
  }
  return best;
}

/** Late answers per added request; utilization decides between equals. */
function lateShareAdded(
  late: LateAnswers,
  server: ListedServer,
  {rate, addedRate}: {readonly rate: number; readonly addedRate: number},
): number {
  const added = Math.max(addedRate, MIN_COMPARED_RATE);
  const before = late.perSecond(server, rate);
  const costPerSecond = late.perSecond(server, rate + added) - before;
  return costPerSecond / added + utilization(server, rate) * UTILIZATION_WEIGHT;
}
