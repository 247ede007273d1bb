import {sleep} from '@banyandrum/base/clock.js';
import {rendezvousWeight} from '@banyandrum/base/hash.js';
import type {ClusterState} from '@banyandrum/config/state.js';
import type {Claimer} from './claims.js';
import type {OwnershipContext} from './context.js';
import type {RouterHost} from './election.js';
import type {Leadership, Tenure} from './leadership.js';
import type {Membership} from './membership.js';
import {resignCells} from './resignation.js';

/** What planned transfers work with. */
export interface TransferOptions {
  readonly ctx: OwnershipContext;
  readonly membership: Membership;
  readonly claimer: Claimer;
  readonly leadership: Leadership;
}

/** A router must lead this many cells more than another to give one away. */
const UNEVEN_BY = 2;

/**
 * Evens leadership out, until everything ends: a router that leads clearly
 * more cells than another hands one over to it, and then waits for a while.
 * A new router thus gets its share slowly and without any cell being idle.
 */
export async function runRebalance(options: TransferOptions): Promise<void> {
  const {ctx} = options;
  const {clock, timing, signal} = ctx;
  while (!signal.aborted) {
    // Apart from the others', which would else all choose the same router.
    const pauseMs = timing.rebalanceIntervalMs * (0.5 + ctx.random());
    await sleep(clock, pauseMs, signal);
    if (!signal.aborted) await moveOne(options);
  }
}

async function moveOne(options: TransferOptions): Promise<void> {
  const {ctx, membership, leadership} = options;
  const counts = countLed(ctx.store.current());
  const countOf = ({host}: {readonly host: string}): number =>
    counts.get(host) ?? 0;
  const [least] = [...membership.otherCandidates()].sort(
    (a, b) => countOf(a) - countOf(b) || (a.host < b.host ? -1 : 1),
  );
  if (!least || countOf(ctx.self) < countOf(least) + UNEVEN_BY) return;
  const movable = leadership
    .activeTenures()
    .filter(tenure => tenure.isCleared());
  const tenure = bestFor(least, movable);
  if (tenure) await transfer(options, tenure, least);
}

/** Makes the target the cell's standby first, then resigns in its favour. */
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

function bestFor(
  target: RouterHost,
  tenures: readonly Tenure[],
): Tenure | undefined {
  const weight = ({holder}: Tenure): number =>
    rendezvousWeight(holder.cell, target.host);
  return [...tenures].sort((a, b) => weight(b) - weight(a))[0];
}

function countLed(state: ClusterState): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const {leader} of state.views.values()) {
    counts.set(leader.host, (counts.get(leader.host) ?? 0) + 1);
  }
  return counts;
}
