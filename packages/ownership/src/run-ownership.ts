import type {Clock} from '@banyandrum/base/clock.js';
import {sleep} from '@banyandrum/base/clock.js';
import type {CellId, Incarnation} from '@banyandrum/base/ids.js';
import type {Logger} from '@banyandrum/base/logger.js';
import type {ClusterState, View} from '@banyandrum/config/state.js';
import type {StateStore} from '@banyandrum/config/store.js';
import type {ControlHandlers} from '@banyandrum/routers/peers.js';
import {createCatchUp} from './catch-up.js';
import {createClaimer} from './claims.js';
import {createCondition} from './condition.js';
import {runConsentLoop} from './consent.js';
import {runLeaveLoop, waitUntilNoRoles} from './departure.js';
import type {OwnershipContext} from './context.js';
import type {OwnershipControl, OwnershipPeers} from './control.js';
import {runInitialClaims} from './first-claims.js';
import {createHandlers} from './handlers.js';
import type {StartCell} from './leadership.js';
import {createLeadership} from './leadership.js';
import type {LedCell} from './led-cell.js';
import type {HostListReader} from './membership.js';
import {createMembership} from './membership.js';
import {createWatchedLeaders, runBackupWatch} from './backup-watch.js';
import {createPauseDetector} from './pauses.js';
import {createPeerTasks} from './peer-tasks.js';
import {runRebalance} from './rebalance.js';
import {createReachabilityMonitor} from './reachability-monitor.js';
import {createStandby} from './standby.js';
import {createStandbyManager} from './standby-keeper.js';
import {runStandbyWatch} from './standby-watch.js';
import {runTakeover} from './takeover.js';
import type {AuthorityTiming} from './timing.js';
import {createUnreachableHandler} from './unreachable-handler.js';
import {viewsWithStandby} from './views.js';

export interface OwnershipOptions {
  readonly self: Incarnation;
  readonly store: StateStore;
  readonly hosts: HostListReader;
  readonly peers: OwnershipPeers;
  readonly clock: Clock;
  readonly log: Logger;
  readonly timing: AuthorityTiming;
  /** Starts the leader of a cell, once for each tenure. */
  readonly startCell: StartCell;
  /** Encodes the state for a router that cannot read the log. */
  readonly encodeState: (state: ClusterState) => string;
  /** Random number in [0, 1), for jitter. */
  readonly random?: () => number;
}

const STOP_TIMEOUT_MS = 5000;

/** Views, authority and takeover of one router process. */
export interface Ownership {
  /** The cell's leader if this process leads it, else null. */
  ledCell(cell: CellId): LedCell | null;
  /** The newest known view of the cell, or null if it has none yet. */
  leaderOf(cell: CellId): View | null;
  /** Handlers of control messages, for the peer server. */
  readonly handlers: ControlHandlers<OwnershipControl>;
  /** Calls `listener` after each change of views; returns an unsubscriber. */
  subscribe(listener: () => void): () => void;
  /**
   * Hands all cells over, for `timeoutMs` at most, then revokes all authority
   * and ends all tasks. Must complete *before* the peer server stops
   * listening: once another incarnation can answer at this address, other
   * routers consider this one terminated.
   */
  stop(timeoutMs?: number): Promise<void>;
}

/**
 * Runs ownership in a router: claims cells, requests and gives consent, takes
 * cells over, and calls `startCell` for each tenure of a cell.
 *
 * @example
 * ```ts
 * const ownership = createOwnership({self, store, hosts, peers, ...});
 * const led = ownership.ledCell('holds/0');
 * ```
 */
export function createOwnership(options: OwnershipOptions): Ownership {
  const {self, store, peers, clock, log, timing} = options;
  const abort = new AbortController();
  const {signal} = abort;
  const pauses = createPauseDetector(clock, signal);
  const random = options.random ?? Math.random;
  const ctx: OwnershipContext = {
    ...{self, store, peers, clock, log, timing, pauses, random, signal},
  };
  let isStopping = false;
  const listeners = new Set<() => void>();
  const consentWithdrawn = createCondition(clock);
  const viewsChanged = createCondition(clock);
  const membership = createMembership(ctx, options.hosts, () => isStopping);
  const claimer = createClaimer(ctx);
  const leadership = createLeadership(ctx, claimer, options.startCell);
  const catchUp = createCatchUp({...ctx, hosts: options.hosts});
  const reachWatch = createReachabilityMonitor(ctx);
  const standby = createStandby(ctx, {
    isLeaving: () => !membership.mayKeepRoles(self.host),
    isUnreached: reachWatch.isUnreachable,
    onWithdrawn: consentWithdrawn.notify,
    onNewerEpoch: catchUp.pull,
  });
  const leaveOptions = {ctx, membership, leadership};
  const standbyManager = createStandbyManager(
    ctx,
    membership,
    claimer,
    leadership,
    viewsChanged,
  );
  const {doubt} = standbyManager;
  const noteUnreached = createUnreachableHandler({
    ctx,
    membership,
    leadership,
    doubt,
  });
  const consentOptions = {ctx, membership, leadership, doubt, noteUnreached};
  const consentTasks = createPeerTasks((peer, taskSignal) =>
    runConsentLoop(consentOptions, peer, taskSignal),
  );
  const standbyWatchTasks = createPeerTasks(async (peer, taskSignal) => {
    void reachWatch.run(peer, taskSignal);
    await runStandbyWatch(ctx, standby, peer, taskSignal);
  });
  const orphanOptions = {ctx, membership, claimer};
  const watchedLeaders = createWatchedLeaders(orphanOptions);
  const orphanWatchTasks = createPeerTasks((peer, taskSignal) =>
    runBackupWatch(orphanOptions, peer, taskSignal),
  );

  const reconcile = (): void => {
    leadership.reconcile();
    standby.reconcile();
    consentTasks.sync(
      leadership
        .activeTenures()
        .flatMap(({holder}) => holder.view().standby ?? []),
    );
    const standbyViews = viewsWithStandby(store.current(), self);
    standbyWatchTasks.sync(standbyViews.map(({leader}) => leader));
    viewsChanged.notify();
    for (const listener of listeners) listener();
  };

  // The watched leaders also depend on the host list, which does not notify.
  const watchOrphans = async (): Promise<void> => {
    while (!signal.aborted) {
      orphanWatchTasks.sync(watchedLeaders());
      await sleep(clock, timing.watchIntervalMs, signal);
    }
  };

  const unsubscribe = store.subscribe(reconcile);
  reconcile();
  void catchUp.runUntilRead();
  void runInitialClaims(ctx, membership, claimer, viewsChanged);
  void runTakeover(ctx, membership, standby, claimer, consentWithdrawn);
  void runRebalance({ctx, membership, claimer, leadership});
  void runLeaveLoop(leaveOptions);
  void standbyManager.run();
  void watchOrphans();

  return {
    ledCell: leadership.ledCell,
    leaderOf: cell => store.current().views.get(cell) ?? null,
    handlers: createHandlers(ctx, leadership, standby, options.encodeState),
    subscribe(listener) {
      listeners.add(listener);
      return () => void listeners.delete(listener);
    },
    async stop(timeoutMs = STOP_TIMEOUT_MS) {
      isStopping = true;
      await waitUntilNoRoles(leaveOptions, timeoutMs);
      unsubscribe();
      abort.abort();
      for (const tasks of [consentTasks, standbyWatchTasks, orphanWatchTasks])
        tasks.stop();
      await leadership.stop();
    },
  };
}
