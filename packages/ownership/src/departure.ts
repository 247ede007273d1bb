import {sleep} from '@banyandrum/base/clock.js';
import type {OwnershipContext} from './context.js';
import type {Leadership} from './leadership.js';
import type {Membership} from './membership.js';
import {resignCells} from './resignation.js';
import {viewsWithStandby, viewsLedBy} from './views.js';

/** Dependencies of a router's planned leave. */
export interface LeaveOptions {
  readonly ctx: OwnershipContext;
  readonly membership: Membership;
  readonly leadership: Leadership;
}

/**
 * Hands all cells over while this router is drained or leaving, until the
 * process's signal aborts. The standby manager first finds a standby for cells
 * that have none.
 */
export async function runLeaveLoop(options: LeaveOptions): Promise<void> {
  const {ctx, membership} = options;
  const {clock, timing, signal} = ctx;
  while (!signal.aborted) {
    if (!membership.mayKeepRoles(ctx.self.host))
      await handOverReadyCells(options);
    await sleep(clock, timing.consentIntervalMs / 2, signal);
  }
}

/**
 * Resolves once this router has no role left, after `timeoutMs`, or at once if
 * no other router can take its roles. Its standby roles are reassigned because
 * the leaders learn from its consent responses that it is leaving.
 */
export async function waitUntilNoRoles(
  {ctx, membership}: LeaveOptions,
  timeoutMs: number,
): Promise<void> {
  const {clock, timing, store, self} = ctx;
  const deadline = clock.now() + timeoutMs;
  while (clock.now() < deadline && membership.otherCandidates().length > 0) {
    const state = store.current();
    const roles = [
      ...viewsLedBy(state, self),
      ...viewsWithStandby(state, self),
    ];
    if (roles.length === 0) return;
    await sleep(clock, timing.pollIntervalMs);
  }
}

async function handOverReadyCells({
  ctx,
  membership,
  leadership,
}: LeaveOptions): Promise<void> {
  const ready = leadership.activeTenures().filter(({holder}) => {
    const {standby} = holder.view();
    if (standby === null || holder.hasPendingClaim()) return false;
    const isStandbyResponsive =
      ctx.clock.now() - holder.lastConsentAt() < ctx.timing.authorityMs;
    return (
      isStandbyResponsive &&
      membership.mayKeepRoles(standby.host) &&
      !membership.isLeaving(standby)
    );
  });
  if (ready.length > 0) await resignCells(ctx, leadership, ready);
}
