import type {CellId} from '@banyandrum/base/ids.js';
import type {Condition} from './condition.js';
import type {ClaimPlan, Claimer} from './claims.js';
import type {OwnershipContext} from './context.js';
import {cellsOf, rankRouters} from './election.js';
import type {Membership} from './membership.js';

/**
 * Claims cells that have no view yet, until the signal aborts: the router
 * that ranks first at once, each lower one `rankMs` later, so that a router
 * which is listed but not there delays a cell and does not lose it.
 */
export async function runFirstClaims(
  ctx: OwnershipContext,
  membership: Membership,
  claimer: Claimer,
  changed: Condition,
): Promise<void> {
  const {timing, signal} = ctx;
  const firstSeen = new Map<CellId, number>();
  while (!signal.aborted) {
    const due = dueCells(ctx, membership, firstSeen);
    if (due.length > 0) {
      const plans = await Promise.all(
        due.map(cell => planFirst(ctx, membership, cell)),
      );
      await claimer.claim(plans);
    }
    await changed.wait(timing.consentMs, signal);
  }
}

function dueCells(
  ctx: OwnershipContext,
  membership: Membership,
  firstSeen: Map<CellId, number>,
): readonly CellId[] {
  const state = ctx.store.current();
  const now = ctx.clock.now();
  const isFresh = now - ctx.store.confirmedAt() < ctx.timing.authorityMs;
  if (!isFresh || !membership.isKnown()) return [];
  const routers = membership.candidates();
  return cellsOf(state.inventory).filter(cell => {
    if (state.views.has(cell)) {
      firstSeen.delete(cell);
      return false;
    }
    const since = firstSeen.get(cell) ?? now;
    firstSeen.set(cell, since);
    const ranked = rankRouters(cell, routers);
    const rank = ranked.findIndex(({host}) => host === ctx.self.host);
    return rank >= 0 && now - since >= rank * ctx.timing.rankMs;
  });
}

async function planFirst(
  ctx: OwnershipContext,
  membership: Membership,
  cell: CellId,
): Promise<ClaimPlan> {
  const standby = await membership.findStandby(cell, null);
  return {
    claim: {cell, previous: 0, leader: ctx.self, standby, settled: false},
    table: null,
    clearedBefore: true,
  };
}
