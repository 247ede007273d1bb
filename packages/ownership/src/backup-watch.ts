import {sleep} from '@banyandrum/base/clock.js';
import type {Incarnation} from '@banyandrum/base/ids.js';
import {isSameIncarnation} from '@banyandrum/base/ids.js';
import type {ClusterState, View} from '@banyandrum/config/state.js';
import type {ClaimPlan, Claimer} from './claims.js';
import {isTerminated} from './clearance.js';
import type {OwnershipContext} from './context.js';
import type {Ring, RouterHost} from './election.js';
import {pickFromRing} from './election.js';
import {createMemo} from './memo.js';
import type {Membership} from './membership.js';
import {probeLeader} from './standby-watch.js';

/** Dependencies of the watch over cells in which this process has no role. */
export interface BackupWatchOptions {
  readonly ctx: OwnershipContext;
  readonly membership: Membership;
  readonly claimer: Claimer;
}

/** How many routers watch a cell besides its leader and its standby. */
const MAX_WATCHERS = 2;

/**
 * Creates a function that returns the leaders that this process watches as a
 * third router. It scans all views only after a view or the set of routers has
 * changed.
 *
 * @example
 * ```ts
 * const watchedLeaders = createWatchedLeaders(options);
 * tasks.sync(watchedLeaders());
 * ```
 */
export function createWatchedLeaders(
  options: BackupWatchOptions,
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
 * Watches one leader on behalf of the cells in which this process has no role,
 * and claims those whose leader *and* standby are lost, until the signal
 * aborts. If only the leader is lost, its standby takes over.
 */
export async function runBackupWatch(
  options: BackupWatchOptions,
  leader: Incarnation,
  signal: AbortSignal,
): Promise<void> {
  const {ctx, claimer} = options;
  const {clock, timing} = ctx;
  let lostSince: number | null = null;
  while (!signal.aborted) {
    await sleep(clock, timing.watchIntervalMs, signal);
    const leaderState = await checkLeader(ctx, leader);
    if (signal.aborted) return;
    if (leaderState === 'there' || leaderState === 'paused') {
      lostSince = null;
      continue;
    }
    lostSince ??= clock.now();
    const lostFor = clock.now() - lostSince;
    const dueViews = viewsDueForClaim(
      options,
      leader,
      lostFor,
      leaderState === 'gone',
    );
    const plans = await Promise.all(
      dueViews.map(view => planClaim(options, view, leaderState === 'gone')),
    );
    const claimPlans = plans.filter(plan => plan !== null);
    if (claimPlans.length > 0 && !signal.aborted)
      await claimer.claim(claimPlans);
  }
}

async function checkLeader(
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

/** Views that this router may claim by now, given its rank as a watcher. */
function viewsDueForClaim(
  options: BackupWatchOptions,
  leader: Incarnation,
  lostForMs: number,
  isLeaderGone: boolean,
): readonly View[] {
  const {ctx, membership} = options;
  const {clock, store, timing} = ctx;
  const ring = membership.ring();
  // No claim can succeed while the log is unreachable. Asking the standby to
  // withdraw would then end its consent in vain.
  if (clock.now() - store.confirmedAt() >= timing.maxLogAgeMs) return [];
  return [...store.current().views.values()].filter(view => {
    if (!isSameIncarnation(view.leader, leader)) return false;
    const rank = watchRank(ctx, ring, view);
    if (rank === null) return false;
    // A standby that may still be running gets time to take over first.
    const isAlone = view.standby === null || isTerminated(ctx, view.standby);
    const graceMs = isLeaderGone && isAlone ? 0 : 2 * timing.suspicionMs;
    return lostForMs >= graceMs + rank * timing.rankDelayMs;
  });
}

async function planClaim(
  options: BackupWatchOptions,
  view: View,
  isLeaderGone: boolean,
): Promise<ClaimPlan | null> {
  const {ctx, membership} = options;
  const standbyState = await checkStandby(ctx, view);
  if (standbyState === 'serving') return null;
  const isConfirmed = isLeaderGone || standbyState === 'over';
  if (!isConfirmed && !checksFences(ctx, view)) {
    ctx.log.warn(
      'leader and standby unresponsive; attest their hosts if lost',
      {
        cell: view.cell,
        leader: view.leader.host,
        standby: view.standby?.host,
      },
    );
    return null;
  }
  if (!isLeaderGone && !(await reachesHalfOfRouters(options, view)))
    return null;
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
 * State of a cell's standby, as seen by a watcher.
 *
 * - `serving`: it is running and takes over itself if necessary.
 * - `over`: there is none, it has ended, or it withdrew its consent and cannot
 *   claim the cell.
 * - `silent`: unknown, as it doesn't answer.
 */
type StandbyState = 'serving' | 'over' | 'silent';

async function checkStandby(
  ctx: OwnershipContext,
  view: View,
): Promise<StandbyState> {
  const {standby, cell, epoch} = view;
  const {authorityMs, responseTimeoutMs} = ctx.timing;
  if (standby === null || isTerminated(ctx, standby)) return 'over';
  const ask = {cell, epoch};
  // Twice the usual timeout, as the standby probes its leader first.
  const res = await ctx.peers.ask(
    standby,
    'withdraw',
    ask,
    2 * responseTimeoutMs,
  );
  if (res.ok) {
    const {withdrawnForMs} = res.val;
    const isStuck = withdrawnForMs !== null && withdrawnForMs > authorityMs;
    return isStuck ? 'over' : 'serving';
  }
  if (res.val.kind === 'other-incarnation') return 'over';
  const probed = await probeLeader(ctx, standby);
  if (probed === 'gone') return 'over';
  return probed === 'silent' ? 'silent' : 'serving';
}

/**
 * Whether this process reaches at least half of the other routers. Otherwise a
 * router that can reach only the log would claim cells whose leaders are
 * healthy.
 */
async function reachesHalfOfRouters(
  {membership}: BackupWatchOptions,
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

/** This router's rank among those that watch the cell, or null. */
function watchRank(
  {self}: OwnershipContext,
  ring: Ring,
  view: View,
): number | null {
  if (isSameIncarnation(view.leader, self)) return null;
  if (isSameIncarnation(view.standby, self)) return null;
  const isLeaderOrStandby = ({host}: RouterHost): boolean =>
    host === view.leader.host || host === view.standby?.host;
  const isOther = (router: RouterHost): boolean => !isLeaderOrStandby(router);
  const order = [...pickFromRing(view.cell, ring, MAX_WATCHERS, isOther)];
  // The hosts of the leader and the standby rank last: they may be lost, or
  // restarted as another incarnation. Finding them takes a pass over the whole
  // ring, so it is done only if needed.
  if (order.length < MAX_WATCHERS) {
    order.push(
      ...pickFromRing(view.cell, ring, MAX_WATCHERS, isLeaderOrStandby),
    );
  }
  const rank = order.findIndex(({host}) => host === self.host);
  if (rank >= 0 && rank < MAX_WATCHERS) return rank;
  // A process that restarted at the address of the leader or the standby knows
  // without any message that the old process has ended. It watches too, with
  // the last rank, because the other watchers may be lost as well.
  const isRestarted = [view.leader, view.standby].some(
    incarnation => incarnation?.address === self.address,
  );
  return isRestarted ? MAX_WATCHERS : null;
}

function checksFences(ctx: OwnershipContext, {cell}: View): boolean {
  const service = cell.slice(0, cell.lastIndexOf('/'));
  const {services} = ctx.store.current().inventory;
  return services.some(({name, checksFences}) => {
    return name === service && checksFences;
  });
}
