import {sleep} from '@banyandrum/base/clock.js';
import type {Incarnation} from '@banyandrum/base/ids.js';
import {sameIncarnation} from '@banyandrum/base/ids.js';
import type {OwnershipContext} from './context.js';
import type {StandbyRole, Standby} from './standby.js';
import {isKnownTerminated} from './clearance.js';

/**
 * Watches one leader as its standby, for all cells that it shares with this
 * process, and withdraws once the leader is lost; until the signal aborts.
 *
 * The rule for withdrawing, beside silence of the leader on a new connection
 * too: this process must have read the log's end *after* it last heard of
 * the leader, and not long ago. While the log is down the leader may live on
 * this very consent, and may only be cut off for a moment: withdrawn, it
 * would have to stop until the log is back, though nobody could take over.
 * With the log at hand a claim can follow at once. A leader that is proved
 * gone needs no consent, so there the log does not matter.
 */
export async function runStandbyWatch(
  ctx: OwnershipContext,
  standby: Standby,
  leader: Incarnation,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    await sleep(ctx.clock, timeUntilSuspicion(ctx, standby, leader), signal);
    const doubtful = () => suspectedRoles(ctx, standby, leader);
    if (doubtful().length === 0) continue;
    const proof = await probeLeader(ctx, leader);
    if (signal.aborted || proof === 'paused') continue;
    const lost = doubtful().filter(role => mayWithdraw(ctx, role, proof));
    // Each look opens a connection, and the log may be down for hours.
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
 * - `silent`: nothing answers there.
 * - `gone`: proved, by another run at its address or an operator's word.
 * - `paused`: this process stood still meanwhile, so that silence shows
 *   nothing.
 */
export type LeaderProbeResult = 'there' | 'silent' | 'gone' | 'paused';

/** Asks on a new connection whether a leader is still there. */
export async function probeLeader(
  ctx: OwnershipContext,
  leader: Incarnation,
): Promise<LeaderProbeResult> {
  if (isKnownTerminated(ctx, leader)) return 'gone';
  const startedAt = ctx.clock.now();
  const res = await ctx.peers.probe(
    leader.address,
    ctx.timing.responseTimeoutMs,
  );
  if (res.ok) return sameIncarnation(res.val, leader) ? 'there' : 'gone';
  return ctx.pauses.awakeSince() > startedAt ? 'paused' : 'silent';
}

/** When to look again: when the leader would have been silent too long. */
function timeUntilSuspicion(
  ctx: OwnershipContext,
  standby: Standby,
  leader: Incarnation,
): number {
  const {suspicionMs, pollIntervalMs: tickMs} = ctx.timing;
  const silences = standby
    .roles()
    .filter(role => isConsentedTo(role, leader))
    .map(role => leaderSilenceMs(ctx, role));
  return Math.max(tickMs, suspicionMs - Math.max(0, ...silences) + 1);
}

function isConsentedTo(role: StandbyRole, leader: Incarnation): boolean {
  const isOf = sameIncarnation(role.view.leader, leader);
  return isOf && role.withdrawnAt === null;
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
        (isKnownTerminated(ctx, leader) ||
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
  // It answers but doesn't ask: most likely it does not know yet that it
  // leads. It gets more time, not all of it.
  const patience = proof === 'there' ? 3 : 1;
  return leaderSilenceMs(ctx, role) > patience * ctx.timing.suspicionMs;
}

/** How long a leader has not asked; our own pauses don't count, in ms. */
export function leaderSilenceMs(
  ctx: OwnershipContext,
  role: StandbyRole,
): number {
  const heardAt = Math.max(role.lastRequestAt, ctx.pauses.awakeSince());
  return ctx.clock.now() - heardAt;
}
