import type {CellId} from '@banyandrum/base/ids.js';
import {isSameIncarnation} from '@banyandrum/base/ids.js';
import type {View} from '@banyandrum/config/state.js';
import type {Authority, InheritedState} from './authority.js';
import type {AuthorityHolder} from './authority-holder.js';
import {createAuthorityHolder} from './authority-holder.js';
import type {ClaimPlan, Claimer} from './claims.js';
import {waitForFormerLeaders} from './clearance.js';
import type {OwnershipContext} from './context.js';
import type {LedCell} from './led-cell.js';
import type {ShardTable} from './table.js';
import {isCurrentView, viewsLedBy} from './views.js';

/** Arguments to start a cell's leader, once for each tenure. */
export interface StartCellOptions {
  readonly cell: CellId;
  /** Its epoch increases when the standby is replaced under the same leader. */
  readonly authority: Authority;
  readonly inheritance: InheritedState;
  /** Aborts when the tenure ends. */
  readonly signal: AbortSignal;
}

/** The running leader of one cell. */
export interface RunningCell {
  readonly led: LedCell;
  /**
   * Stops all lease calls and dispatch; resolves with the final table, or null
   * if it isn't known yet. Must not wait for requests in flight: until it
   * resolves, no process leads the cell or renews its leases, whereas the
   * successor's lease calls allow those requests to continue.
   */
  stop(): Promise<ShardTable | null>;
}

export type StartCell = (
  options: StartCellOptions,
) => RunningCell | Promise<RunningCell>;

/** This process's leadership of a cell through one or more successive views. */
export interface Tenure {
  readonly holder: AuthorityHolder;
  /** When this process learned of the newest of its views. */
  viewKnownSince(): number;
  /** When it ended; `Infinity` until then. */
  endedAt(): number;
  /** Whether all earlier leaders are known to have stopped. */
  isCleared(): boolean;
}

/** The cells that this process leads. */
export interface Leadership {
  /** Starts, continues and ends tenures according to the newest views. */
  reconcile(): void;
  /** Tenures that have not ended and whose view is current. */
  activeTenures(): readonly Tenure[];
  /**
   * Tenures that ended although their view is still current: their cells were
   * to be handed over and no router has claimed them yet.
   */
  endedCurrentTenures(): readonly Tenure[];
  ledCell(cell: CellId): LedCell | null;
  /**
   * Revokes the authority at once and permanently, then stops the leader;
   * resolves with the final table, or null if there is none.
   */
  endTenure(tenure: Tenure): Promise<ShardTable | null>;
  /** Ends all tenures. */
  stop(): Promise<void>;
}

interface TenureState extends Tenure {
  readonly abort: AbortController;
  readonly running: Promise<RunningCell | null>;
  led: LedCell | null;
  viewKnownAt: number;
  endedAtMs: number;
  finalTable: Promise<ShardTable | null> | null;
}

/**
 * Starts a cell's leader when a view names this process, continues it while
 * later views do too, and ends it when another process leads.
 *
 * @example
 * ```ts
 * const leadership = createLeadership(ctx, claimer, startCell);
 * store.subscribe(leadership.reconcile);
 * ```
 */
export function createLeadership(
  ctx: OwnershipContext,
  claimer: Claimer,
  startCell: StartCell,
): Leadership {
  const tenures = new Map<CellId, TenureState>();

  /** Ends a tenure. Its authority is revoked before anything is awaited. */
  const endTenure = (tenure: TenureState): Promise<ShardTable | null> => {
    tenure.holder.revoke();
    tenure.abort.abort();
    if (tenure.finalTable !== null) return tenure.finalTable;
    tenure.endedAtMs = ctx.clock.now();
    tenure.finalTable = stopLeader(tenure);
    return tenure.finalTable;
  };

  /** The table of the tenure that the claim replaced, or that of the plan. */
  const getInheritedTable = async (
    previous: TenureState | undefined,
    plan: ClaimPlan | null,
  ): Promise<ShardTable | null> => {
    if (previous === undefined) return plan?.table ?? null;
    const table = await endTenure(previous);
    const follows = plan?.claim.previous === previous.holder.epoch;
    return follows ? table : (plan?.table ?? null);
  };

  const startLeader = async (
    tenure: TenureState,
    cleared: Promise<void>,
    inheritedTable: Promise<ShardTable | null>,
  ): Promise<RunningCell | null> => {
    const table = await inheritedTable;
    const {signal} = tenure.abort;
    if (signal.aborted) return null;
    const {holder: authority} = tenure;
    const {cell} = authority;
    const inheritance = {table, cleared};
    const running = await startCell({cell, authority, inheritance, signal});
    tenure.led = running.led;
    return running;
  };

  const startTenure = (view: View): void => {
    const {cell, epoch} = view;
    ctx.log.info('leading', {cell, epoch, standby: view.standby?.host});
    const plan = claimer.planOf(view);
    const inheritedTable = getInheritedTable(tenures.get(cell), plan);
    const abort = new AbortController();
    let isCleared = plan?.clearedBefore ?? false;
    const cleared = isCleared
      ? Promise.resolve()
      : whenCleared(ctx, view, abort.signal);
    void cleared.then(() => (isCleared = true));
    const tenure: TenureState = {
      holder: createAuthorityHolder(ctx, view),
      isCleared: () => isCleared,
      viewKnownSince: () => tenure.viewKnownAt,
      abort,
      led: null,
      viewKnownAt: ctx.clock.now(),
      endedAt: () => tenure.endedAtMs,
      endedAtMs: Infinity,
      finalTable: null,
      running: Promise.resolve().then(() =>
        startLeader(tenure, cleared, inheritedTable).catch((err: unknown) => {
          ctx.log.error('could not start the leader of a cell', {
            cell,
            epoch,
            err: String(err),
          });
          return null;
        }),
      ),
    };
    tenures.set(cell, tenure);
  };

  const continueTenure = (tenure: TenureState, view: View): void => {
    ctx.log.info('leading continues under a new view', {
      cell: view.cell,
      epoch: view.epoch,
      standby: view.standby?.host,
    });
    tenure.viewKnownAt = ctx.clock.now();
    tenure.holder.advanceTo(view);
  };

  // Only a claim that names this tenure's epoch continues the tenure. After
  // any other claim, another leader may have acted in between.
  const isContinuedBy = (tenure: TenureState, view: View): boolean =>
    tenure.finalTable === null &&
    claimer.planOf(view)?.claim.previous === tenure.holder.epoch;

  const reconcile = (): void => {
    const state = ctx.store.current();
    for (const [cell, tenure] of [...tenures]) {
      const leader = state.views.get(cell)?.leader ?? null;
      if (isSameIncarnation(leader, ctx.self)) continue;
      tenures.delete(cell);
      void endTenure(tenure);
    }
    if (ctx.signal.aborted) return;
    for (const view of viewsLedBy(state, ctx.self)) {
      const tenure = tenures.get(view.cell);
      if (tenure?.holder.epoch === view.epoch) continue;
      if (tenure && isContinuedBy(tenure, view)) continueTenure(tenure, view);
      else startTenure(view);
    }
  };

  const isViewCurrent = ({holder}: TenureState): boolean =>
    isCurrentView(ctx.store.current(), holder.view());

  const isActive = (tenure: TenureState): boolean =>
    tenure.finalTable === null && isViewCurrent(tenure);

  return {
    reconcile,
    activeTenures: () => [...tenures.values()].filter(isActive),
    endedCurrentTenures: () =>
      [...tenures.values()].filter(
        tenure => tenure.finalTable !== null && isViewCurrent(tenure),
      ),
    ledCell(cell) {
      const tenure = tenures.get(cell);
      return tenure && isActive(tenure) ? tenure.led : null;
    },
    endTenure(tenure) {
      const known = tenures.get(tenure.holder.cell);
      return known === tenure ? endTenure(known) : Promise.resolve(null);
    },
    async stop() {
      await Promise.all([...tenures.values()].map(endTenure));
    },
  };
}

/**
 * Stops a leader and returns its final table, or null if the table is not known
 * to be complete: a leader that has not recorded a table yet may still be
 * querying the servers, and a successor would treat shards that servers own
 * as unassigned.
 */
async function stopLeader(tenure: TenureState): Promise<ShardTable | null> {
  const running = await tenure.running;
  if (running === null) return null;
  const table = await running.stop();
  return tenure.holder.hasRecordedTable() ? table : null;
}

/** Resolves when earlier leaders have stopped, but never if the tenure ends. */
async function whenCleared(
  ctx: OwnershipContext,
  view: View,
  signal: AbortSignal,
): Promise<void> {
  await waitForFormerLeaders(ctx, view, signal);
  if (signal.aborted) await new Promise<never>(() => {});
}
