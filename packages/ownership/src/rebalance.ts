import {sleep} from '@banyandrum/base/clock.js';
import {rendezvousWeight} from '@banyandrum/base/hash.js';
import type {ClusterState} from '@banyandrum/config/state.js';
import type {Claimer} from './claims.js';
import type {OwnershipContext} from './context.js';
import type {RouterHost} from './election.js';
import type {Leadership, Tenure} from './leadership.js';
import type {Membership} from './membership.js';
import {resignCells} from './resignation.js';

/** Dependencies of planned leadership transfers. */
export interface TransferOptions {
  readonly ctx: OwnershipContext;
  readonly membership: Membership;
  readonly claimer: Claimer;
  readonly leadership: Leadership;
}

/** Minimum difference in led cells between two routers for a transfer. */
const MIN_DIFFERENCE = 2;

/**
 * Balances leadership among routers until the context's signal aborts. A router
 * that leads clearly more cells than another hands one over to it, then waits
 * for an interval. So a new router gets its share gradually, and no cell is
 * left without a leader.
 */
export async function runRebalance(options: TransferOptions): Promise<void> {
  const {ctx} = options;
  const {clock, timing, signal} = ctx;
  while (!signal.aborted) {
    // Jitter keeps routers from all choosing the same target at the same time.
    const delayMs = timing.rebalanceIntervalMs * (0.5 + ctx.random());
    await sleep(clock, delayMs, signal);
    if (!signal.aborted) await transferOneCell(options);
  }
}

async function transferOneCell(options: TransferOptions): Promise<void> {
  const {ctx, membership, leadership} = options;
  const counts = countLedCells(ctx.store.current());
  const countOf = ({host}: {readonly host: string}): number =>
    counts.get(host) ?? 0;
  const [leastLoaded] = [...membership.otherCandidates()].sort(
    (a, b) => countOf(a) - countOf(b) || (a.host < b.host ? -1 : 1),
  );
  if (!leastLoaded || countOf(ctx.self) < countOf(leastLoaded) + MIN_DIFFERENCE)
    return;
  const movable = leadership
    .activeTenures()
    .filter(tenure => tenure.isCleared());
  const tenure = preferredTenure(leastLoaded, movable);
  if (tenure) await transfer(options, tenure, leastLoaded);
}

/** Makes the target the cell's standby, then resigns in its favour. */
async function transfer(
  options: TransferOptions,
  tenure: Tenure,
  target: RouterHost,
): Promise<void> {
  const {ctx, leadership} = options;
  if (tenure.holder.view().standby?.host !== target.host) {
    await makeStandby(options, tenure, target);
  }
  const isReady =
    leadership.activeTenures().includes(tenure) &&
    tenure.holder.view().standby?.host === target.host &&
    (await tenure.holder.sendTableToStandby());
  if (isReady) await resignCells(ctx, leadership, [tenure]);
}

async function makeStandby(
  {ctx, membership, claimer}: TransferOptions,
  tenure: Tenure,
  target: RouterHost,
): Promise<void> {
  const standby = await membership.findIncarnation(target);
  const {cell, epoch: previous} = tenure.holder;
  const {store, clock, timing} = ctx;
  const isLogFresh = clock.now() - store.confirmedAt() < timing.authorityMs / 2;
  if (standby === null || !isLogFresh) return;
  const claim = {cell, previous, leader: ctx.self, standby, settled: true};
  tenure.holder.suspendConsent();
  const plan = {claim, table: null, clearedBefore: true};
  const outcome = await claimer.claim([plan]);
  if (outcome === 'not-appended') tenure.holder.restoreConsent(previous);
}

function preferredTenure(
  target: RouterHost,
  tenures: readonly Tenure[],
): Tenure | undefined {
  const weight = ({holder}: Tenure): number =>
    rendezvousWeight(holder.cell, target.host);
  return [...tenures].sort((a, b) => weight(b) - weight(a))[0];
}

function countLedCells(state: ClusterState): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const {leader} of state.views.values()) {
    counts.set(leader.host, (counts.get(leader.host) ?? 0) + 1);
  }
  return counts;
}
