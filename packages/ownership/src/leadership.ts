import type {CellId} from '@banyandrum/base/ids.js';
import {sameIncarnation} from '@banyandrum/base/ids.js';
import type {View} from '@banyandrum/config/state.js';
import type {Authority, Inheritance} from './authority.js';
import type {AuthorityHolder} from './authority-holder.js';
import {createAuthorityHolder} from './authority-holder.js';
import type {Claimer} from './claims.js';
import type {OwnershipContext} from './context.js';
import type {LedCell} from './led-cell.js';
import type {ShardTable} from './table.js';
import {withMargin} from './timing.js';
import {isCurrent, viewsLedBy} from './views.js';

/** What a cell's leader is started with, once for each epoch. */
export interface StartCellOptions {
  readonly cell: CellId;
  readonly authority: Authority;
  readonly inheritance: Inheritance;
  /** Aborted when the epoch is over. */
  readonly signal: AbortSignal;
}

/** The leader's work for one cell in one epoch. */
export interface RunningCell {
  readonly led: LedCell;
  /** Stops all orders and dispatch; resolves with the final table. */
  stop(): Promise<ShardTable>;
}

export type StartCell = (
  options: StartCellOptions,
) => RunningCell | Promise<RunningCell>;

/** One cell in one epoch as this process leads it. */
export interface LedEpoch {
  readonly view: View;
  readonly holder: AuthorityHolder;
  /** When the epoch became known here. */
  readonly since: number;
  /** Whether all earlier leaders are known to have stopped. */
  isCleared(): boolean;
}

/** All cells that this process leads. */
export interface Leadership {
  /** Brings what runs in line with the newest views. */
  reconcile(): void;
  /** Epochs that are current as far as this process knows. */
  epochs(): readonly LedEpoch[];
  ledCell(cell: CellId): LedCell | null;
  /**
   * Ends the right to act for a cell at once and for good, then stops its
   * work; yields the final table.
   */
  resign(epoch: LedEpoch): Promise<ShardTable | null>;
  /** Ends everything. */
  stop(): Promise<void>;
}

interface Tenure extends LedEpoch {
  readonly clearedAt: number;
  readonly abort: AbortController;
  running: Promise<RunningCell | null>;
  led: LedCell | null;
  ended: Promise<ShardTable | null> | null;
}

/**
 * Starts a cell's leader for each epoch that names this process, and ends it
 * when the epoch is over.
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
  const tenures = new Map<CellId, Tenure>();

  const start = async (
    tenure: Tenure,
    inherited: Promise<ShardTable | null>,
  ): Promise<RunningCell | null> => {
    const table = await inherited;
    if (tenure.abort.signal.aborted) return null;
    const running = await startCell({
      cell: tenure.view.cell,
      authority: tenure.holder,
      inheritance: {table, cleared: cleared(ctx, tenure)},
      signal: tenure.abort.signal,
    });
    tenure.led = running.led;
    return running;
  };

  const begin = (view: View): void => {
    const before = tenures.get(view.cell) ?? null;
    const clearedAt = clearingTime(ctx, claimer, view, before);
    const holder = createAuthorityHolder(ctx, view);
    const tenure: Tenure = {
      view,
      holder,
      since: ctx.clock.now(),
      clearedAt,
      isCleared: () => ctx.clock.now() >= clearedAt,
      abort: new AbortController(),
      running: Promise.resolve(null),
      led: null,
      ended: null,
    };
    const inherited = before
      ? end(before)
      : Promise.resolve(claimer.planOf(view)?.table ?? null);
    tenures.set(view.cell, tenure);
    const {cell, epoch} = view;
    ctx.log.info('leading', {cell, epoch, standby: view.standby?.host});
    tenure.running = start(tenure, inherited).catch((err: unknown) => {
      ctx.log.error('cell did not start', {cell, epoch, err: String(err)});
      return null;
    });
  };

  const reconcile = (): void => {
    const state = ctx.store.current();
    for (const tenure of [...tenures.values()]) {
      if (isCurrent(state, tenure.view)) continue;
      const next = state.views.get(tenure.view.cell);
      if (next && sameIncarnation(next.leader, ctx.self)) continue;
      tenures.delete(tenure.view.cell);
      void end(tenure);
    }
    if (ctx.signal.aborted) return;
    for (const view of viewsLedBy(state, ctx.self)) {
      if (tenures.get(view.cell)?.view.epoch !== view.epoch) begin(view);
    }
  };

  return {
    reconcile,
    epochs() {
      const state = ctx.store.current();
      return [...tenures.values()].filter(
        ({view, ended}) => ended === null && isCurrent(state, view),
      );
    },
    ledCell(cell) {
      const tenure = tenures.get(cell);
      if (!tenure || tenure.ended !== null) return null;
      return isCurrent(ctx.store.current(), tenure.view) ? tenure.led : null;
    },
    resign(epoch) {
      const tenure = tenures.get(epoch.view.cell);
      if (tenure?.view.epoch !== epoch.view.epoch) return Promise.resolve(null);
      return end(tenure);
    },
    async stop() {
      await Promise.all([...tenures.values()].map(end));
    },
  };
}

/** Ends a tenure; the right goes first, before anything is awaited. */
function end(tenure: Tenure): Promise<ShardTable | null> {
  tenure.holder.end();
  tenure.abort.abort();
  tenure.ended ??= stopRunning(tenure);
  return tenure.ended;
}

async function stopRunning(tenure: Tenure): Promise<ShardTable | null> {
  const running = await tenure.running;
  return running === null ? null : running.stop();
}

/**
 * When all earlier leaders of the cell have stopped. The reading that showed
 * the view ends their trust in the log T later, and whoever claimed ended
 * the consent before it claimed, so T plus drift covers both.
 */
function clearingTime(
  ctx: OwnershipContext,
  claimer: Claimer,
  view: View,
  before: Tenure | null,
): number {
  if (before !== null) return before.clearedAt;
  const now = ctx.clock.now();
  if (claimer.planOf(view)?.clearedBefore) return now;
  return now + withMargin(ctx.timing, ctx.timing.authorityMs);
}

function cleared(ctx: OwnershipContext, tenure: Tenure): Promise<void> {
  const ms = tenure.clearedAt - ctx.clock.now();
  if (ms <= 0) return Promise.resolve();
  return new Promise(resolve => {
    const cancel = ctx.clock.after(ms, resolve);
    tenure.abort.signal.addEventListener('abort', cancel);
  });
}
