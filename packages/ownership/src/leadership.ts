import type {CellId} from '@banyandrum/base/ids.js';
import {sameIncarnation} from '@banyandrum/base/ids.js';
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

/** What a cell's leader is started with, once for each tenure. */
export interface StartCellOptions {
  readonly cell: CellId;
  /** Its epoch grows when the standby is replaced under the same leader. */
  readonly authority: Authority;
  readonly inheritance: InheritedState;
  /** Aborted when the tenure is over. */
  readonly signal: AbortSignal;
}

/** The leader's work for one cell. */
export interface RunningCell {
  readonly led: LedCell;
  /**
   * Stops all orders and dispatch; resolves with the final table, or null
   * where it isn't known yet. It must not wait for requests in flight: until
   * it resolves nobody leads the cell and nobody renews its leases, while the
   * successor's orders let those requests go on.
   */
  stop(): Promise<ShardTable | null>;
}

export type StartCell = (
  options: StartCellOptions,
) => RunningCell | Promise<RunningCell>;

/** A cell as this process leads it, through one view or several in a row. */
export interface Tenure {
  readonly holder: AuthorityHolder;
  /** When the newest of its views became known here. */
  viewKnownSince(): number;
  /** When it ended; `Infinity` before. */
  endedAt(): number;
  /** Whether all earlier leaders are known to have stopped. */
  isCleared(): boolean;
}

/** All cells that this process leads. */
export interface Leadership {
  /** Brings what runs in line with the newest views. */
  reconcile(): void;
  /** Tenures that have not ended and whose view is current. */
  activeTenures(): readonly Tenure[];
  /**
   * Tenures that ended here though their view is still current: cells that
   * were to be handed over and that nobody has taken so far.
   */
  endedCurrentTenures(): readonly Tenure[];
  ledCell(cell: CellId): LedCell | null;
  /**
   * Ends the right to act at once and for good, then stops the work; yields
   * the final table, or null where there is none.
   */
  endTenure(tenure: Tenure): Promise<ShardTable | null>;
  /** Ends everything. */
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
 * Starts a cell's leader when a view names this process, lets it go on while
 * later views do so too, and ends it when another process leads.
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
  const terms = new Map<CellId, TenureState>();

  /** Ends a term; the right goes first, before anything is awaited. */
  const endTerm = (term: TenureState): Promise<ShardTable | null> => {
    term.holder.revoke();
    term.abort.abort();
    if (term.finalTable !== null) return term.finalTable;
    term.endedAtMs = ctx.clock.now();
    term.finalTable = stopLeader(term);
    return term.finalTable;
  };

  /** The table of the term that ended with the claim, or that of the plan. */
  const inheritedTable = async (
    before: TenureState | undefined,
    plan: ClaimPlan | null,
  ): Promise<ShardTable | null> => {
    if (before === undefined) return plan?.table ?? null;
    const table = await endTerm(before);
    const follows = plan?.claim.previous === before.holder.epoch;
    return follows ? table : (plan?.table ?? null);
  };

  const start = async (
    term: TenureState,
    cleared: Promise<void>,
    inherited: Promise<ShardTable | null>,
  ): Promise<RunningCell | null> => {
    const table = await inherited;
    const {signal} = term.abort;
    if (signal.aborted) return null;
    const {holder: authority} = term;
    const {cell} = authority;
    const inheritance = {table, cleared};
    const running = await startCell({cell, authority, inheritance, signal});
    term.led = running.led;
    return running;
  };

  const begin = (view: View): void => {
    const {cell, epoch} = view;
    ctx.log.info('leading', {cell, epoch, standby: view.standby?.host});
    const plan = claimer.planOf(view);
    const inherited = inheritedTable(terms.get(cell), plan);
    const abort = new AbortController();
    let isCleared = plan?.clearedBefore ?? false;
    const cleared = isCleared
      ? Promise.resolve()
      : whenCleared(ctx, view, abort.signal);
    void cleared.then(() => (isCleared = true));
    const term: TenureState = {
      holder: createAuthorityHolder(ctx, view),
      isCleared: () => isCleared,
      viewKnownSince: () => term.viewKnownAt,
      abort,
      led: null,
      viewKnownAt: ctx.clock.now(),
      endedAt: () => term.endedAtMs,
      endedAtMs: Infinity,
      finalTable: null,
      running: Promise.resolve().then(() =>
        start(term, cleared, inherited).catch((err: unknown) => {
          ctx.log.error('cell did not start', {cell, epoch, err: String(err)});
          return null;
        }),
      ),
    };
    terms.set(cell, term);
  };

  const goOn = (term: TenureState, view: View): void => {
    ctx.log.info('leading on', {
      cell: view.cell,
      epoch: view.epoch,
      standby: view.standby?.host,
    });
    term.viewKnownAt = ctx.clock.now();
    term.holder.advanceTo(view);
  };

  // Only a claim that named this term's epoch continues the term; anything
  // else means that another leader was there in between.
  const continues = (term: TenureState, view: View): boolean =>
    term.finalTable === null &&
    claimer.planOf(view)?.claim.previous === term.holder.epoch;

  const reconcile = (): void => {
    const state = ctx.store.current();
    for (const [cell, term] of [...terms]) {
      const leader = state.views.get(cell)?.leader ?? null;
      if (sameIncarnation(leader, ctx.self)) continue;
      terms.delete(cell);
      void endTerm(term);
    }
    if (ctx.signal.aborted) return;
    for (const view of viewsLedBy(state, ctx.self)) {
      const term = terms.get(view.cell);
      if (term?.holder.epoch === view.epoch) continue;
      if (term && continues(term, view)) goOn(term, view);
      else begin(view);
    }
  };

  const isInForce = ({holder}: TenureState): boolean =>
    isCurrentView(ctx.store.current(), holder.view());

  const isOngoing = (term: TenureState): boolean =>
    term.finalTable === null && isInForce(term);

  return {
    reconcile,
    activeTenures: () => [...terms.values()].filter(isOngoing),
    endedCurrentTenures: () =>
      [...terms.values()].filter(
        term => term.finalTable !== null && isInForce(term),
      ),
    ledCell(cell) {
      const term = terms.get(cell);
      return term && isOngoing(term) ? term.led : null;
    },
    endTenure(tenure) {
      const term = terms.get(tenure.holder.cell);
      return term === tenure ? endTerm(term) : Promise.resolve(null);
    },
    async stop() {
      await Promise.all([...terms.values()].map(endTerm));
    },
  };
}

/**
 * The final table, or null where it is not known to be complete: a leader
 * that has recorded nothing so far may still be asking the servers, and a
 * successor would take shards for free that are not.
 */
async function stopLeader(term: TenureState): Promise<ShardTable | null> {
  const running = await term.running;
  if (running === null) return null;
  const table = await running.stop();
  return term.holder.hasRecordedTable() ? table : null;
}

/** Never resolves where the term ends before. */
async function whenCleared(
  ctx: OwnershipContext,
  view: View,
  signal: AbortSignal,
): Promise<void> {
  await waitForFormerLeaders(ctx, view, signal);
  if (signal.aborted) await new Promise<never>(() => {});
}
