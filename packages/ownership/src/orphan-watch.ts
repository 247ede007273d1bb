import {sleep} from '@banyandrum/base/clock.js';
import type {Incarnation} from '@banyandrum/base/ids.js';
import {sameIncarnation} from '@banyandrum/base/ids.js';
import type {ClusterState, View} from '@banyandrum/config/state.js';
import type {ClaimPlan, Claimer} from './claims.js';
import {isTerminated} from './clearance.js';
import type {OwnershipContext} from './context.js';
import type {Ring, RouterHost} from './election.js';
import {pickFromRing} from './election.js';
import {createMemo} from './memo.js';
import type {Membership} from './membership.js';
import {probeLeader} from './standby-watch.js';

/** What the watch of cells without a role in them works with. */
export interface OrphanWatchOptions {
  readonly ctx: OwnershipContext;
  readonly membership: Membership;
  readonly claimer: Claimer;
}

/** How many routers watch a cell beside its leader and its standby. */
const WATCHERS = 2;

/**
 * Tells the leaders that this process watches as a third router; looks
 * through all views only after one of them or a router has changed.
 *
 * @example
 * ```ts
 * const watchedLeaders = createWatchedLeaders(options);
 * tasks.sync(watchedLeaders());
 * ```
 */
export function createWatchedLeaders(
  options: OrphanWatchOptions,
): () => readonly Incarnation[] {
  const {ctx, membership} = options;
  const leadersOf = createMemo((views: ClusterState['views'], ring: Ring) =>
    [...views.values()]
      .filter(view => watchRank(ctx, ring, view) !== null)
      .map(({leader}) => leader),
  );
  return () => leadersOf(ctx.store.current().views, membership.ring());
}

/**
 * Watches one leader for the cells in which this process has no role, and
 * claims those whose leader *and* standby are lost; until the signal aborts.
 * A leader that is lost alone is its standby's affair.
 */
export async function runOrphanWatch(
  options: OrphanWatchOptions,
  leader: Incarnation,
  signal: AbortSignal,
): Promise<void> {
  const {ctx, claimer} = options;
  const {clock, timing} = ctx;
  let lostSince: number | null = null;
  while (!signal.aborted) {
    await sleep(clock, timing.watchIntervalMs, signal);
    const proof = await lookFor(ctx, leader);
    if (signal.aborted) return;
    if (proof === 'there' || proof === 'paused') {
      lostSince = null;
      continue;
    }
    lostSince ??= clock.now();
    const lostFor = clock.now() - lostSince;
    const due = dueViews(options, leader, lostFor, proof === 'gone');
    const plans = await Promise.all(
      due.map(view => planRescue(options, view, proof === 'gone')),
    );
    const wanted = plans.filter(plan => plan !== null);
    if (wanted.length > 0 && !signal.aborted) await claimer.claim(wanted);
  }
}

async function lookFor(
  ctx: OwnershipContext,
  leader: Incarnation,
): ReturnType<typeof probeLeader> {
  if (isTerminated(ctx, leader)) return 'gone';
  const res = await ctx.peers.ask(
    leader,
    'leads',
    {},
    ctx.timing.responseTimeoutMs,
  );
  if (res.ok) return 'there';
  if (res.val.kind === 'other-incarnation') return 'gone';
  return probeLeader(ctx, leader);
}

/** Views whose turn has come for this router by its rank. */
function dueViews(
  options: OrphanWatchOptions,
  leader: Incarnation,
  lostForMs: number,
  isLeaderGone: boolean,
): readonly View[] {
  const {ctx, membership} = options;
  const {clock, store, timing} = ctx;
  const ring = membership.ring();
  // Without the log at hand no claim can follow, so don't end a consent.
  if (clock.now() - store.confirmedAt() >= timing.maxLogAgeMs) return [];
  return [...store.current().views.values()].filter(view => {
    if (!sameIncarnation(view.leader, leader)) return false;
    const rank = watchRank(ctx, ring, view);
    if (rank === null) return false;
    // The standby, if there is one, is to have its chance first.
    const isAlone = view.standby === null || isTerminated(ctx, view.standby);
    const graceMs = isLeaderGone && isAlone ? 0 : 2 * timing.suspicionMs;
    return lostForMs >= graceMs + rank * timing.rankDelayMs;
  });
}

async function planRescue(
  options: OrphanWatchOptions,
  view: View,
  isLeaderGone: boolean,
): Promise<ClaimPlan | null> {
  const {ctx, membership} = options;
  const standbyState = await examineStandby(ctx, view);
  if (standbyState === 'serving') return null;
  const isProved = isLeaderGone || standbyState === 'over';
  if (!isProved && !checksFences(ctx, view)) {
    ctx.log.warn('leader and standby lost; attest their hosts if so', {
      cell: view.cell,
      leader: view.leader.host,
      standby: view.standby?.host,
    });
    return null;
  }
  if (!isLeaderGone && !(await isConnected(options, view))) return null;
  const standby = await membership.findStandby(view.cell, view.leader);
  return {
    claim: {
      cell: view.cell,
      previous: view.epoch,
      leader: ctx.self,
      standby,
      settled: false,
    },
    table: null,
    clearedBefore: false,
  };
}

/**
 * - `serving`: it is there and will take over itself, if need be.
 * - `over`: there is none, it is gone, or it withdrew and cannot claim.
 * - `silent`: nobody knows.
 */
type StandbyState = 'serving' | 'over' | 'silent';

async function examineStandby(
  ctx: OwnershipContext,
  view: View,
): Promise<StandbyState> {
  const {standby, cell, epoch} = view;
  const {authorityMs, responseTimeoutMs: answerMs} = ctx.timing;
  if (standby === null || isTerminated(ctx, standby)) return 'over';
  const ask = {cell, epoch};
  // Longer than an answer takes: the standby probes its leader first.
  const res = await ctx.peers.ask(standby, 'withdraw', ask, 2 * answerMs);
  if (res.ok) {
    const {withdrawnForMs} = res.val;
    const isStuck = withdrawnForMs !== null && withdrawnForMs > authorityMs;
    return isStuck ? 'over' : 'serving';
  }
  if (res.val.kind === 'other-incarnation') return 'over';
  const proof = await probeLeader(ctx, standby);
  if (proof === 'gone') return 'over';
  return proof === 'silent' ? 'silent' : 'serving';
}

/**
 * Whether this process reaches at least half of the other routers. One that
 * is cut off from everybody but the log would else claim cells whose leaders
 * are well.
 */
async function isConnected(
  {membership}: OrphanWatchOptions,
  {leader, standby}: View,
): Promise<boolean> {
  const others = membership
    .otherCandidates()
    .filter(({host}) => host !== leader.host && host !== standby?.host);
  const found = await membership.findOtherIncarnations();
  const reached = found.filter(({host}) =>
    others.some(other => other.host === host),
  );
  return reached.length * 2 >= others.length;
}

/** This router's place among those that watch the cell, or null. */
function watchRank(
  {self}: OwnershipContext,
  ring: Ring,
  view: View,
): number | null {
  if (sameIncarnation(view.leader, self)) return null;
  if (sameIncarnation(view.standby, self)) return null;
  const hasRole = ({host}: RouterHost): boolean =>
    host === view.leader.host || host === view.standby?.host;
  const isOther = (router: RouterHost): boolean => !hasRole(router);
  const order = [...pickFromRing(view.cell, ring, WATCHERS, isOther)];
  // A host with a role comes last: it may be lost, or back as another run.
  // Looking for one goes round the whole ring, so only where it is needed.
  if (order.length < WATCHERS) {
    order.push(...pickFromRing(view.cell, ring, WATCHERS, hasRole));
  }
  const rank = order.findIndex(({host}) => host === self.host);
  if (rank >= 0 && rank < WATCHERS) return rank;
  // Back as another run at the address of the leader or the standby, this
  // process needs no message to know that the old one is over. It comes last,
  // for the others may be lost as well.
  const isBack = [view.leader, view.standby].some(
    run => run?.address === self.address,
  );
  return isBack ? WATCHERS : null;
}

function checksFences(ctx: OwnershipContext, {cell}: View): boolean {
  const service = cell.slice(0, cell.lastIndexOf('/'));
  const {services} = ctx.store.current().inventory;
  return services.some(({name, checksFences}) => {
    return name === service && checksFences;
  });
}
