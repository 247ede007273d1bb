import {sleep} from '@banyandrum/base/clock.js';
import type {Incarnation} from '@banyandrum/base/ids.js';
import type {FormerPair, View} from '@banyandrum/config/state.js';
import type {OwnershipContext} from './context.js';
import {withClockMargin} from './timing.js';
import {isAttestedLost} from './views.js';

/**
 * Resolves when all earlier leaders of a cell have stopped, or when the signal
 * aborts. The caller must just have read the view in which it leads.
 *
 * Earlier leaders may act on their last reading of the log or on consent.
 * Reading the view bounds the first: no earlier leader relies on the log for
 * longer than `authorityMs` after that, by its own clock. Consent is checked
 * for each former pair of leader and standby. The immediately preceding pair
 * is not listed if its standby or its leader made the claim, because both end
 * their consent before they claim.
 *
 * @example
 * ```ts
 * await waitForFormerLeaders(ctx, view, signal);
 * ```
 */
export async function waitForFormerLeaders(
  ctx: OwnershipContext,
  view: View,
  signal: AbortSignal,
): Promise<void> {
  const logTrustMs = withClockMargin(ctx.timing, ctx.timing.authorityMs);
  const pairs = view.unsettled.map(pair =>
    waitForFormerPair(ctx, view, pair, signal),
  );
  await Promise.all([sleep(ctx.clock, logTrustMs, signal), ...pairs]);
}

/**
 * State of a former pair of leader and standby.
 *
 * - `active`: the leader may still act with consent.
 * - `no-consent`: the leader gets no consent for requests made from now on.
 * - `leader-gone`: the leader's process has terminated.
 */
type PairState = 'active' | 'no-consent' | 'leader-gone';

async function waitForFormerPair(
  ctx: OwnershipContext,
  view: View,
  pair: FormerPair,
  signal: AbortSignal,
): Promise<void> {
  let warned = false;
  while (!signal.aborted) {
    const state = await checkPair(ctx, view, pair);
    if (state === 'leader-gone') return;
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
  if (leaderState === 'gone') return 'leader-gone';
  const isConsentOver = leaderState === 'stopped' || standbyState !== 'active';
  return isConsentOver ? 'no-consent' : 'active';
}

/**
 * - `gone`: another incarnation answers at its address, or an operator attested
 *   it lost.
 * - `stopped`: it answers that it knows a later view or has withdrawn consent,
 *   so it neither acts nor consents in that epoch any more.
 */
type IncarnationState = 'active' | 'stopped' | 'gone';

async function checkIncarnation(
  ctx: OwnershipContext,
  view: View,
  pair: FormerPair,
  incarnation: Incarnation,
): Promise<IncarnationState> {
  if (isTerminated(ctx, incarnation)) return 'gone';
  if (incarnation.boot === ctx.self.boot) return 'stopped';
  const request = {cell: view.cell, epoch: pair.epoch};
  const res = await ctx.peers.ask(
    incarnation,
    'withdraw',
    request,
    ctx.timing.responseTimeoutMs,
  );
  if (!res.ok) return res.val.kind === 'other-incarnation' ? 'gone' : 'active';
  return res.val.withdrawnForMs === null ? 'active' : 'stopped';
}

/** Whether an incarnation is known to have ended, without asking any router. */
export function isTerminated(
  ctx: OwnershipContext,
  incarnation: Incarnation,
): boolean {
  const {self} = ctx;
  // This process uses the address itself, so the other incarnation has ended.
  if (incarnation.address === self.address && incarnation.boot !== self.boot)
    return true;
  return isAttestedLost(ctx.store.current(), incarnation);
}

function warnAboutPair(
  ctx: OwnershipContext,
  view: View,
  {epoch, leader, standby}: FormerPair,
): void {
  ctx.log.warn(
    'waiting for a former leader to stop; attest its host if it is lost',
    {
      cell: view.cell,
      formerEpoch: epoch,
      leader: leader.host,
      standby: standby?.host,
    },
  );
}
