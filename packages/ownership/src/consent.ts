import {sleep} from '@banyandrum/base/clock.js';
import type {Incarnation} from '@banyandrum/base/ids.js';
import {isSameIncarnation} from '@banyandrum/base/ids.js';
import type {OwnershipContext} from './context.js';
import type {Leadership, Tenure} from './leadership.js';
import type {Membership} from './membership.js';
import type {UnreachableHandler} from './unreachable-handler.js';

/** Dependencies of the consent loops of a leader. */
export interface ConsentOptions {
  readonly ctx: OwnershipContext;
  readonly membership: Membership;
  readonly leadership: Leadership;
  /** Reports cells whose standby is no longer reliable. */
  readonly doubt: (tenures: readonly Tenure[], reason: string) => void;
  readonly noteUnreached: UnreachableHandler;
}

/**
 * Requests consent from one standby at a regular interval until the signal
 * aborts, for all cells that it shares with this process in one message. The
 * request also serves as the heartbeat between the two, in both directions.
 */
export async function runConsentLoop(
  options: ConsentOptions,
  standby: Incarnation,
  signal: AbortSignal,
): Promise<void> {
  const {clock, timing} = options.ctx;
  while (!signal.aborted) {
    const requestedAt = clock.now();
    await requestConsent(options, standby);
    await checkSilentStandby(options, standby);
    const elapsedMs = clock.now() - requestedAt;
    await sleep(
      clock,
      Math.max(0, timing.consentIntervalMs - elapsedMs),
      signal,
    );
  }
}

async function requestConsent(
  options: ConsentOptions,
  standby: Incarnation,
): Promise<void> {
  const {ctx, membership, doubt} = options;
  const requested = tenuresWith(options, standby).map(tenure => ({
    tenure,
    cell: tenure.holder.cell,
    epoch: tenure.holder.epoch,
  }));
  if (requested.length === 0) return;
  const cells = requested.map(({cell, epoch}) => ({cell, epoch}));
  const requestedAt = ctx.clock.now();
  const {responseTimeoutMs} = ctx.timing;
  const res = await ctx.peers.ask(
    standby,
    'consent',
    {cells},
    responseTimeoutMs,
  );
  if (!res.ok) {
    const isReplaced = res.val.kind === 'other-incarnation';
    if (isReplaced) doubt(tenuresWith(options, standby), 'restarted');
    return;
  }
  const granted = new Set(res.val.granted);
  for (const {tenure, cell, epoch} of requested) {
    if (!granted.has(cell)) continue;
    tenure.holder.recordConsent(epoch, requestedAt);
    // Consent shows that the standby knows the epoch, so it accepts the table.
    void tenure.holder.sendTableToStandby();
  }
  if (res.val.leaving) membership.markLeaving(standby);
  if (!res.val.unreached) return;
  options.noteUnreached(standby, tenuresWith(options, standby));
}

/**
 * Reports a standby that has not consented for a while. Probes it on a new
 * connection first, because only the existing connection may be broken.
 */
async function checkSilentStandby(
  options: ConsentOptions,
  standby: Incarnation,
): Promise<void> {
  const {ctx, doubt} = options;
  const {timing} = ctx;
  const tenuresSilentFor = (ms: number): readonly Tenure[] =>
    tenuresWith(options, standby).filter(
      tenure => standbySilenceMs(ctx, tenure) > ms,
    );
  if (tenuresSilentFor(timing.standbyTimeoutMs).length === 0) return;
  const res = await ctx.peers.probe(standby.address, timing.responseTimeoutMs);
  const isAlive = res.ok && isSameIncarnation(res.val, standby);
  // A standby that answers without consenting may not have read the view yet.
  const timeoutMs = isAlive ? 2 * timing.authorityMs : timing.standbyTimeoutMs;
  doubt(tenuresSilentFor(timeoutMs), isAlive ? 'refuses consent' : 'silent');
}

/** Time without consent; a pause of this process does not count, in ms. */
function standbySilenceMs(ctx: OwnershipContext, tenure: Tenure): number {
  const lastHeardAt = Math.max(
    tenure.holder.lastConsentAt(),
    tenure.viewKnownSince(),
    ctx.pauses.resumedAt(),
  );
  return ctx.clock.now() - lastHeardAt;
}

function tenuresWith(
  {leadership}: ConsentOptions,
  standby: Incarnation,
): readonly Tenure[] {
  return leadership
    .activeTenures()
    .filter(({holder}) => isSameIncarnation(holder.view().standby, standby));
}
