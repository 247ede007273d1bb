import {sleep} from '@banyandrum/base/clock.js';
import type {Incarnation} from '@banyandrum/base/ids.js';
import {sameIncarnation} from '@banyandrum/base/ids.js';
import type {OwnershipContext} from './context.js';
import type {LedEpoch, Leadership} from './leadership.js';
import type {Membership} from './membership.js';

/** Tells who looks for new standbys which cells need one. */
export interface StandbyDoubts {
  /** The standby of these cells cannot be relied on any more. */
  doubt(epochs: readonly LedEpoch[], reason: string): void;
}

/**
 * Asks one standby for consent, for all cells that it shares with this
 * process, in one message; until the signal aborts. The question is also the
 * heartbeat between the two, in both directions.
 */
export async function runConsent(
  ctx: OwnershipContext,
  membership: Membership,
  leadership: Leadership,
  doubts: StandbyDoubts,
  standby: Incarnation,
  signal: AbortSignal,
): Promise<void> {
  const {clock, timing} = ctx;
  while (!signal.aborted) {
    const epochs = epochsWith(leadership, standby);
    const askedAt = clock.now();
    await askOnce(ctx, membership, doubts, standby, epochs);
    await doubtSilent(ctx, leadership, doubts, standby);
    const spent = clock.now() - askedAt;
    await sleep(clock, Math.max(0, timing.consentMs - spent), signal);
  }
}

async function askOnce(
  ctx: OwnershipContext,
  membership: Membership,
  doubts: StandbyDoubts,
  standby: Incarnation,
  epochs: readonly LedEpoch[],
): Promise<void> {
  if (epochs.length === 0) return;
  const cells = epochs.map(({view}) => ({cell: view.cell, epoch: view.epoch}));
  const askedAt = ctx.clock.now();
  const {answerMs} = ctx.timing;
  const res = await ctx.peers.ask(standby, 'consent', {cells}, answerMs);
  if (!res.ok) {
    if (res.val.kind === 'other-incarnation') doubts.doubt(epochs, 'restarted');
    return;
  }
  const granted = new Set(res.val.granted);
  for (const {view, holder} of epochs) {
    if (granted.has(view.cell)) holder.consented(askedAt);
  }
  if (res.val.leaving) membership.noteLeaving(standby);
}

/**
 * Doubts a standby that gave no consent for a while. A new connection is
 * tried first: a silent one may have been lost track of on the way.
 */
async function doubtSilent(
  ctx: OwnershipContext,
  leadership: Leadership,
  doubts: StandbyDoubts,
  standby: Incarnation,
): Promise<void> {
  const {timing} = ctx;
  const silent = (ms: number): readonly LedEpoch[] =>
    epochsWith(leadership, standby).filter(epoch => silentFor(ctx, epoch) > ms);
  if (silent(timing.standbySilenceMs).length === 0) return;
  const res = await ctx.peers.probe(standby.address, timing.answerMs);
  const isThere = res.ok && sameIncarnation(res.val, standby);
  // It answers, but does not consent: it may not have read the view yet.
  const patience = isThere ? 2 * timing.authorityMs : timing.standbySilenceMs;
  doubts.doubt(silent(patience), isThere ? 'refuses consent' : 'silent');
}

/** Our own pause must not count as silence of the standby. */
function silentFor(ctx: OwnershipContext, epoch: LedEpoch): number {
  const heardAt = Math.max(
    epoch.holder.consentedAt(),
    epoch.since,
    ctx.pauses.awakeSince(),
  );
  return ctx.clock.now() - heardAt;
}

function epochsWith(
  leadership: Leadership,
  standby: Incarnation,
): readonly LedEpoch[] {
  return leadership
    .epochs()
    .filter(({view}) => sameIncarnation(view.standby, standby));
}
