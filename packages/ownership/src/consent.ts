import {sleep} from '@banyandrum/base/clock.js';
import type {Incarnation} from '@banyandrum/base/ids.js';
import {sameIncarnation} from '@banyandrum/base/ids.js';
import type {OwnershipContext} from './context.js';
import type {Leadership, Tenure} from './leadership.js';
import type {Membership} from './membership.js';
import type {NoteUnreached} from './unreached.js';

/** What a leader's questions for consent work with. */
export interface ConsentOptions {
  readonly ctx: OwnershipContext;
  readonly membership: Membership;
  readonly leadership: Leadership;
  /** Told of cells whose standby cannot be relied on any more. */
  readonly doubt: (tenures: readonly Tenure[], reason: string) => void;
  readonly noteUnreached: NoteUnreached;
}

/**
 * Asks one standby for consent, for all cells that it shares with this
 * process, in one message; until the signal aborts. The question is also the
 * heartbeat between the two, in both directions.
 */
export async function runConsentLoop(
  options: ConsentOptions,
  standby: Incarnation,
  signal: AbortSignal,
): Promise<void> {
  const {clock, timing} = options.ctx;
  while (!signal.aborted) {
    const askedAt = clock.now();
    await requestConsent(options, standby);
    await checkSilentStandby(options, standby);
    const spent = clock.now() - askedAt;
    await sleep(clock, Math.max(0, timing.consentIntervalMs - spent), signal);
  }
}

async function requestConsent(
  options: ConsentOptions,
  standby: Incarnation,
): Promise<void> {
  const {ctx, membership, doubt} = options;
  const asked = tenuresWith(options, standby).map(tenure => ({
    tenure,
    cell: tenure.holder.cell,
    epoch: tenure.holder.epoch,
  }));
  if (asked.length === 0) return;
  const cells = asked.map(({cell, epoch}) => ({cell, epoch}));
  const askedAt = ctx.clock.now();
  const {responseTimeoutMs: answerMs} = ctx.timing;
  const res = await ctx.peers.ask(standby, 'consent', {cells}, answerMs);
  if (!res.ok) {
    const isGone = res.val.kind === 'other-incarnation';
    if (isGone) doubt(tenuresWith(options, standby), 'restarted');
    return;
  }
  const granted = new Set(res.val.granted);
  for (const {tenure, cell, epoch} of asked) {
    if (!granted.has(cell)) continue;
    tenure.holder.recordConsent(epoch, askedAt);
    // Its consent shows that it knows the epoch, so it takes the table now.
    void tenure.holder.sendTableToStandby();
  }
  if (res.val.leaving) membership.markLeaving(standby);
  if (!res.val.unreached) return;
  options.noteUnreached(standby, tenuresWith(options, standby));
}

/**
 * Doubts a standby that gave no consent for a while. A new connection is
 * tried first: a silent one may have been lost track of on the way.
 */
async function checkSilentStandby(
  options: ConsentOptions,
  standby: Incarnation,
): Promise<void> {
  const {ctx, doubt} = options;
  const {timing} = ctx;
  const silent = (ms: number): readonly Tenure[] =>
    tenuresWith(options, standby).filter(
      tenure => standbySilenceMs(ctx, tenure) > ms,
    );
  if (silent(timing.standbyTimeoutMs).length === 0) return;
  const res = await ctx.peers.probe(standby.address, timing.responseTimeoutMs);
  const isThere = res.ok && sameIncarnation(res.val, standby);
  // It answers, but does not consent: it may not have read the view yet.
  const patience = isThere ? 2 * timing.authorityMs : timing.standbyTimeoutMs;
  doubt(silent(patience), isThere ? 'refuses consent' : 'silent');
}

/** Our own pause must not count as silence of the standby. */
function standbySilenceMs(ctx: OwnershipContext, tenure: Tenure): number {
  const heardAt = Math.max(
    tenure.holder.lastConsentAt(),
    tenure.viewKnownSince(),
    ctx.pauses.awakeSince(),
  );
  return ctx.clock.now() - heardAt;
}

function tenuresWith(
  {leadership}: ConsentOptions,
  standby: Incarnation,
): readonly Tenure[] {
  return leadership
    .activeTenures()
    .filter(({holder}) => sameIncarnation(holder.view().standby, standby));
}
