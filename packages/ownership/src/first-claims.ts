import type {CellId} from '@banyandrum/base/ids.js';
import type {Condition} from './condition.js';
import type {ClaimPlan, Claimer} from './claims.js';
import type {ClusterState} from '@banyandrum/config/state.js';
import type {OwnershipContext} from './context.js';
import {cellsOf, isRankedWithin} from './election.js';
import {createMemo} from './memo.js';
import type {Membership} from './membership.js';

/**
 * Claims cells that have no view yet, until the signal aborts. The router that
 * ranks first for a cell claims it at once, each lower rank `rankDelayMs`
 * later, so that a listed router that is down only delays the cell.
 */
export async function runInitialClaims(
  ctx: OwnershipContext,
  membership: Membership,
  claimer: Claimer,
  changed: Condition,
): Promise<void> {
  const {timing, signal} = ctx;
  const dueCells = createDueCellFinder(ctx, membership);
  while (!signal.aborted) {
    const due = dueCells();
    if (due.length > 0) {
      const plans = await Promise.all(
        due.map(cell => planInitialClaim(ctx, membership, cell)),
      );
      await claimer.claim(plans);
    }
    await changed.wait(timing.consentIntervalMs, signal);
  }
}

/** Finds the unclaimed cells that this router's rank allows it to claim now. */
function createDueCellFinder(
  ctx: OwnershipContext,
  membership: Membership,
): () => readonly CellId[] {
  const {clock, store, timing} = ctx;
  // Memoized per inventory and views: with thousands of cells and routers,
  // computing this on each check would take longer than the check interval.
  const unclaimedOf = createMemo(listUnclaimed);
  let firstSeen: ReadonlyMap<CellId, number> = new Map();

  return () => {
    const now = clock.now();
    const isFresh = now - store.confirmedAt() < timing.maxLogAgeMs;
    if (!isFresh || !membership.isReady()) return [];
    const {inventory, views} = store.current();
    const cells = unclaimedOf(inventory, views);
    const entries = cells.map(
      cell => [cell, firstSeen.get(cell) ?? now] as const,
    );
    firstSeen = new Map(entries);
    const routers = membership.candidates();
    return cells.filter(cell => {
      const waitedMs = now - (firstSeen.get(cell) ?? now);
      const rankLimit = Math.floor(waitedMs / timing.rankDelayMs) + 1;
      return isRankedWithin(cell, ctx.self.host, routers, rankLimit);
    });
  };
}

function listUnclaimed(
  inventory: ClusterState['inventory'],
  views: ClusterState['views'],
): readonly CellId[] {
  return cellsOf(inventory).filter(cell => !views.has(cell));
}

async function planInitialClaim(
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
