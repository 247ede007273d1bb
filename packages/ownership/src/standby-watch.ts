import {sleep} from '@banyandrum/base/clock.js';
import type {Incarnation} from '@banyandrum/base/ids.js';
import {isSameIncarnation} from '@banyandrum/base/ids.js';
import type {OwnershipContext} from './context.js';
import type {StandbyRole, Standby} from './standby.js';
import {isTerminated} from './clearance.js';

/**
 * Watches one leader as its standby, for all cells that it shares with this
 * process, and withdraws consent once the leader is lost, until the signal
 * aborts.
 *
 * Withdrawal requires that the leader is also silent on a new connection, and
 * that this process has read the end of the log *after* the leader's last
 * request and recently. While the log is down, the leader may depend on this
 * consent and may only be disconnected for a moment; after a withdrawal it
 * would have to stop until the log is back, and no router could take over.
 * When the log is readable, a claim can follow at once. A leader that is known
 * to have terminated needs no consent, so the log does not matter then.
 */
export async function runStandbyWatch(
  ctx: OwnershipContext,
  standby: Standby,
  leader: Incarnation,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    await sleep(ctx.clock, timeUntilSuspicion(ctx, standby, leader), signal);
    const suspected = () => suspectedRoles(ctx, standby, leader);
    if (suspected().length === 0) continue;
    const proof = await probeLeader(ctx, leader);
    if (signal.aborted || proof === 'paused') continue;
    const lost = suspected().filter(role => mayWithdraw(ctx, role, proof));
    // Limits the rate of probes: each opens a connection, and the log may be
    // down for hours.
    if (lost.length === 0)
      await sleep(ctx.clock, ctx.timing.consentIntervalMs, signal);
    for (const role of lost) {
      const {cell, epoch} = role.view;
      ctx.log.warn('leader lost', {cell, epoch, host: leader.host, proof});
      standby.withdraw(cell, epoch);
    }
  }
}

/**
 * - `there`: the leader's process answers on a new connection.
 * - `silent`: no process answers.
 * - `gone`: another incarnation is at its address, or an operator attested it
 *   lost.
 * - `paused`: this process was paused meanwhile, so the silence proves nothing.
 */
export type LeaderProbeResult = 'there' | 'silent' | 'gone' | 'paused';

/** Probes a leader on a new connection. */
export async function probeLeader(
  ctx: OwnershipContext,
  leader: Incarnation,
): Promise<LeaderProbeResult> {
  if (isTerminated(ctx, leader)) return 'gone';
  const startedAt = ctx.clock.now();
  const res = await ctx.peers.probe(
    leader.address,
    ctx.timing.responseTimeoutMs,
  );
  if (res.ok) return isSameIncarnation(res.val, leader) ? 'there' : 'gone';
  return ctx.pauses.resumedAt() > startedAt ? 'paused' : 'silent';
}

/** Time until the leader would have been silent for too long, in ms. */
function timeUntilSuspicion(
  ctx: OwnershipContext,
  standby: Standby,
  leader: Incarnation,
): number {
  const {suspicionMs, pollIntervalMs} = ctx.timing;
  const silentMs = standby
    .roles()
    .filter(role => isConsentedTo(role, leader))
    .map(role => leaderSilenceMs(ctx, role));
  return Math.max(pollIntervalMs, suspicionMs - Math.max(0, ...silentMs) + 1);
}

function isConsentedTo(role: StandbyRole, leader: Incarnation): boolean {
  const isLeader = isSameIncarnation(role.view.leader, leader);
  return isLeader && role.withdrawnAt === null;
}

function suspectedRoles(
  ctx: OwnershipContext,
  standby: Standby,
  leader: Incarnation,
): readonly StandbyRole[] {
  return standby
    .roles()
    .filter(
      role =>
        isConsentedTo(role, leader) &&
        (isTerminated(ctx, leader) ||
          leaderSilenceMs(ctx, role) > ctx.timing.suspicionMs),
    );
}

function mayWithdraw(
  ctx: OwnershipContext,
  role: StandbyRole,
  proof: LeaderProbeResult,
): boolean {
  if (proof === 'gone') return true;
  const confirmedAt = ctx.store.confirmedAt();
  const isFresh =
    confirmedAt > role.lastRequestAt &&
    ctx.clock.now() - confirmedAt < ctx.timing.maxLogAgeMs;
  if (!isFresh) return false;
  // A leader that answers but sends no requests most likely does not know yet
  // that it leads. It gets three times as long.
  const timeoutFactor = proof === 'there' ? 3 : 1;
  return leaderSilenceMs(ctx, role) > timeoutFactor * ctx.timing.suspicionMs;
}

/** Time since a leader's last request, without this process's pauses, in ms. */
export function leaderSilenceMs(
  ctx: OwnershipContext,
  role: StandbyRole,
): number {
  const lastHeardAt = Math.max(role.lastRequestAt, ctx.pauses.resumedAt());
  return ctx.clock.now() - lastHeardAt;
}
