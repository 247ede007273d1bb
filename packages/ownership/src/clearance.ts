import {sleep} from '@banyandrum/base/clock.js';
import type {Incarnation} from '@banyandrum/base/ids.js';
import type {FormerPair, View} from '@banyandrum/config/state.js';
import type {OwnershipContext} from './context.js';
import {withClockMargin} from './timing.js';
import {isAttestedLost} from './views.js';

/**
 * Resolves when all earlier leaders of a cell have stopped, for whoever was
 * just seen to lead it; or when the signal aborts.
 *
 * The reading that showed the view ends every earlier leader's trust in the
 * log T later, by its own clock. Consent ends at the pairs one by one; the
 * pair right before is no longer listed where its standby or its leader made
 * the claim, because both end their consent before they claim.
 *
 * @example
 * ```ts
 * await waitUntilCleared(ctx, view, signal);
 * ```
 */
export async function waitForFormerLeaders(
  ctx: OwnershipContext,
  view: View,
  signal: AbortSignal,
): Promise<void> {
  const trustMs = withClockMargin(ctx.timing, ctx.timing.authorityMs);
  const pairs = view.unsettled.map(pair =>
    waitForFormerPair(ctx, view, pair, signal),
  );
  await Promise.all([sleep(ctx.clock, trustMs, signal), ...pairs]);
}

/**
 * What is known of a former pair.
 *
 * - `over`: its leader cannot act.
 * - `no-consent`: its leader gets no consent that was asked for from now on.
 */
type PairState = 'living' | 'no-consent' | 'over';

async function waitForFormerPair(
  ctx: OwnershipContext,
  view: View,
  pair: FormerPair,
  signal: AbortSignal,
): Promise<void> {
  let warned = false;
  while (!signal.aborted) {
    const state = await checkPair(ctx, view, pair);
    if (state === 'over') return;
    if (state === 'no-consent') {
      const {authorityMs} = ctx.timing;
      return sleep(ctx.clock, withClockMargin(ctx.timing, authorityMs), signal);
    }
    if (!warned) warnAboutPair(ctx, view, pair);
    warned = true;
    await sleep(ctx.clock, ctx.timing.watchIntervalMs, signal);
  }
}

async function checkPair(
  ctx: OwnershipContext,
  view: View,
  pair: FormerPair,
): Promise<PairState> {
  const {standby, leader} = pair;
  const [leaderState, standbyState] = await Promise.all([
    checkIncarnation(ctx, view, pair, leader),
    standby === null ? 'gone' : checkIncarnation(ctx, view, pair, standby),
  ]);
  if (leaderState === 'gone') return 'over';
  const isCut = leaderState === 'stopped' || standbyState !== 'living';
  return isCut ? 'no-consent' : 'living';
}

/**
 * - `gone`: another run of the process answers at its address, or an operator
 *   attested it lost.
 * - `stopped`: it answers that it knows a later view or has withdrawn, so it
 *   neither acts nor consents in that epoch any more.
 */
type IncarnationState = 'living' | 'stopped' | 'gone';

async function checkIncarnation(
  ctx: OwnershipContext,
  view: View,
  pair: FormerPair,
  run: Incarnation,
): Promise<IncarnationState> {
  if (isKnownTerminated(ctx, run)) return 'gone';
  if (run.boot === ctx.self.boot) return 'stopped';
  const ask = {cell: view.cell, epoch: pair.epoch};
  const res = await ctx.peers.ask(
    run,
    'withdraw',
    ask,
    ctx.timing.responseTimeoutMs,
  );
  if (!res.ok) return res.val.kind === 'other-incarnation' ? 'gone' : 'living';
  return res.val.withdrawnForMs === null ? 'living' : 'stopped';
}

/** What this process knows of a run without asking anybody. */
export function isKnownTerminated(
  ctx: OwnershipContext,
  run: Incarnation,
): boolean {
  const {self} = ctx;
  // This process holds that address itself, so the other run is over.
  if (run.address === self.address && run.boot !== self.boot) return true;
  return isAttestedLost(ctx.store.current(), run);
}

function warnAboutPair(
  ctx: OwnershipContext,
  view: View,
  {epoch, leader, standby}: FormerPair,
): void {
  ctx.log.warn('waiting for a former leader; if its host is lost, attest it', {
    cell: view.cell,
    formerEpoch: epoch,
    leader: leader.host,
    standby: standby?.host,
  });
}
