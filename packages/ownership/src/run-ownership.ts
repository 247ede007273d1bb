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
import {createWatchedLeaders, runOrphanWatch} from './orphan-watch.js';
import {createPauseDetector} from './pauses.js';
import {createPeerTasks} from './peer-tasks.js';
import {runRebalance} from './rebalance.js';
import {createReachWatch} from './reach-watch.js';
import {createStandby} from './standby.js';
import {createStandbyManager} from './standby-keeper.js';
import {runStandbyWatch} from './standby-watch.js';
import {runTakeover} from './takeover.js';
import type {AuthorityTiming} from './timing.js';
import {createUnreached} from './unreached.js';
import {viewsWithStandby} from './views.js';

export interface OwnershipOptions {
  readonly self: Incarnation;
  readonly store: StateStore;
  readonly hosts: HostListReader;
  readonly peers: OwnershipPeers;
  readonly clock: Clock;
  readonly log: Logger;
  readonly timing: AuthorityTiming;
  /** Starts the leader's work for a cell, once for each epoch. */
  readonly startCell: StartCell;
  /** Encodes the state for a peer that cannot read the log. */
  readonly encodeState: (state: ClusterState) => string;
  /** 0 to below 1, for jitter. */
  readonly random?: () => number;
}

const STOP_TIMEOUT_MS = 5000;

/** Views, authority and takeover of one router process. */
export interface Ownership {
  /** The cell's leader in this process, or null where another leads. */
  ledCell(cell: CellId): LedCell | null;
  /** The newest view known; null where nobody leads the cell yet. */
  leaderOf(cell: CellId): View | null;
  /** For the peer server. */
  readonly handlers: ControlHandlers<OwnershipControl>;
  /** Calls `listener` after each change of views; returns how to stop. */
  subscribe(listener: () => void): () => void;
  /**
   * Hands all cells over, for `limitMs` at most, then gives up every right
   * and ends all tasks. Must be over *before* the peer server stops
   * listening: once another run of the process can answer at this address,
   * the others take this one for gone.
   */
  stop(limitMs?: number): Promise<void>;
}

/**
 * Runs ownership in a router: claims cells, keeps and gives consent, takes
 * over, and starts `startCell` for each cell and epoch that it leads.
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
  const withdrawn = createCondition(clock);
  const changed = createCondition(clock);
  const membership = createMembership(ctx, options.hosts, () => isStopping);
  const claimer = createClaimer(ctx);
  const leadership = createLeadership(ctx, claimer, options.startCell);
  const catchUp = createCatchUp({...ctx, hosts: options.hosts});
  const reach = createReachWatch(ctx);
  const standby = createStandby(ctx, {
    isLeaving: () => !membership.mayKeepRoles(self.host),
    isUnreached: reach.isUnreached,
    onWithdrawn: withdrawn.notify,
    onNewerEpoch: catchUp.pull,
  });
  const departure = {ctx, membership, leadership};
  const keeper = createStandbyManager(
    ctx,
    membership,
    claimer,
    leadership,
    changed,
  );
  const {doubt} = keeper;
  const noteUnreached = createUnreached({ctx, membership, leadership, doubt});
  const consent = {ctx, membership, leadership, doubt, noteUnreached};
  const asking = createPeerTasks((peer, ended) =>
    runConsentLoop(consent, peer, ended),
  );
  const backed = createPeerTasks(async (peer, ended) => {
    void reach.run(peer, ended);
    await runStandbyWatch(ctx, standby, peer, ended);
  });
  const orphans = {ctx, membership, claimer};
  const watchedLeaders = createWatchedLeaders(orphans);
  const watched = createPeerTasks((peer, ended) =>
    runOrphanWatch(orphans, peer, ended),
  );

  const reconcile = (): void => {
    leadership.reconcile();
    standby.reconcile();
    asking.sync(
      leadership
        .activeTenures()
        .flatMap(({holder}) => holder.view().standby ?? []),
    );
    const backings = viewsWithStandby(store.current(), self);
    backed.sync(backings.map(({leader}) => leader));
    changed.notify();
    for (const listener of listeners) listener();
  };

  // Who watches whom also depends on the host list, which changes silently.
  const watchOrphans = async (): Promise<void> => {
    while (!signal.aborted) {
      watched.sync(watchedLeaders());
      await sleep(clock, timing.watchIntervalMs, signal);
    }
  };

  const unsubscribe = store.subscribe(reconcile);
  reconcile();
  void catchUp.runUntilRead();
  void runInitialClaims(ctx, membership, claimer, changed);
  void runTakeover(ctx, membership, standby, claimer, withdrawn);
  void runRebalance({ctx, membership, claimer, leadership});
  void runLeaveLoop(departure);
  void keeper.run();
  void watchOrphans();

  return {
    ledCell: leadership.ledCell,
    leaderOf: cell => store.current().views.get(cell) ?? null,
    handlers: createHandlers(ctx, leadership, standby, options.encodeState),
    subscribe(listener) {
      listeners.add(listener);
      return () => void listeners.delete(listener);
    },
    async stop(limitMs = STOP_TIMEOUT_MS) {
      isStopping = true;
      await waitUntilNoRoles(departure, limitMs);
      unsubscribe();
      abort.abort();
      for (const tasks of [asking, backed, watched]) tasks.stop();
      await leadership.stop();
    },
  };
}
