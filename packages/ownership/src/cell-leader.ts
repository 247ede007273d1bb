import {setMaxListeners} from 'node:events';
import type {Clock} from '@banyandrum/base/clock.js';
import type {CellId, Fence, Offset, ShardId} from '@banyandrum/base/ids.js';
import type {Logger} from '@banyandrum/base/logger.js';
import type {Service} from '@banyandrum/config/inventory.js';
import type {Timing} from '@banyandrum/config/rules.js';
import type {StateStore} from '@banyandrum/config/store.js';
import type {ServerClient} from '@banyandrum/servers/client.js';
import type {Authority, Inheritance} from './authority.js';
import type {Planner} from '@banyandrum/placement/planner.js';
import {createCondition} from './condition.js';
import type {DispatchGate, LedCell, LoadSource} from './led-cell.js';
import {createLeaseRegistry} from './lease-registry.js';
import {type HostWatch, parseCell} from './lease-servers.js';
import type {LeaseHealth} from './lease-task.js';
import {createLeaseTiming} from './lease-timing.js';
import {createLoadWatch} from './load-watch.js';
import {readinessOf} from './plan-input.js';
import {createPlacer} from './placer.js';
import {createRecovery} from './recovery.js';
import {createShardLocator} from './shard-locator.js';
import {createShardMap, createTableRecorder} from './shard-table.js';
import type {ShardState, ShardTable} from './table.js';

export interface CellLeaderOptions {
  readonly service: Service;
  readonly authority: Authority;
  readonly inheritance: Inheritance;
  readonly store: StateStore;
  readonly serverClient: ServerClient;
  readonly hostWatch: HostWatch;
  readonly gate: DispatchGate;
  readonly loads: LoadSource;
  readonly clock: Clock;
  readonly log: Logger;
  readonly timing: Timing;
  /** Ends the leadership at once, as `stop` does. */
  readonly signal: AbortSignal;
  /** Another planner of moves, for experiments. */
  readonly createPlanner?: () => Planner;
}

/** One server of a cell, for status and explanations. */
export interface ServerDescription {
  readonly server: string;
  readonly health: LeaseHealth;
  /** Why it is being emptied, or null. */
  readonly leaving: string | null;
  readonly shards: number;
  readonly fence: Fence;
  /** How long its lease surely lasts, in ms; null without a lease. */
  readonly leaseLeftMs: number | null;
  readonly slots: number;
  /** Slots that it proved able to keep busy. */
  readonly capacity: number;
  /** Share of them that it may be given, 0 to 1. */
  readonly readiness: number;
  /** Slots kept busy over the last period. */
  readonly busy: number;
}

/** One shard of a cell, for status and explanations. */
export interface ShardDescription {
  readonly shard: ShardId;
  readonly state: ShardState;
  readonly server: string | null;
  readonly next: string | null;
  readonly servable: boolean;
  /** Slots that it keeps busy, smoothed. */
  readonly busy: number;
  /** Why it is where it is. */
  readonly reason: string;
  /** How long ago it moved, in ms; null where it hasn't. */
  readonly movedAgoMs: number | null;
}

/** A led cell, for status and explanations. */
export interface CellDescription {
  readonly cell: CellId;
  readonly epoch: Offset;
  readonly mayAct: boolean;
  readonly servers: readonly ServerDescription[];
  readonly shards: readonly ShardDescription[];
}

/** The leadership of one cell. */
export interface CellLeader {
  readonly led: LedCell;
  /**
   * Ends it: no order is sent any more when it resolves. The table is for the
   * successor; null where this leader didn't know it yet itself: a successor
   * that took the shards for free would give them a second owner.
   */
  stop(): Promise<ShardTable | null>;
  describe(): CellDescription;
}

/**
 * Starts to lead a cell: takes it over, keeps its servers' leases, and moves
 * shards as servers come, go and get busy.
 *
 * @example
 * ```ts
 * const leader = startCellLeader(options);
 * const location = leader.led.locate('ward-7');
 * const table = await leader.stop();
 * ```
 */
export function startCellLeader(options: CellLeaderOptions): CellLeader {
  const {authority, clock, inheritance, log, service} = options;
  const {cell} = authority;
  const stopper = new AbortController();
  const signal = AbortSignal.any([options.signal, stopper.signal]);
  // One listener for each change under way and each server's task.
  setMaxListeners(0, signal);
  const timing = createLeaseTiming(options.timing);
  const wake = createCondition(clock);
  const map = createShardMap({
    service: service.name,
    shards: service.shards,
    cells: service.cells,
    index: parseCell(cell).index,
  });
  const registry = createLeaseRegistry({
    ...options,
    client: options.serverClient,
    timing,
    signal,
    onExchange: (_, changed) => {
      locator.resumeSettled();
      if (changed) wake.notify();
    },
    onReport: (task, shards) => recovery.recordReport(task, shards),
  });
  const {tasks} = registry;
  const locator = createShardLocator({...options, cell, map, tasks});
  const recorder = createTableRecorder({
    map,
    authority,
    clock,
    signal,
    fences: registry.fences,
    addresses: () => recovery.addresses(),
    version: (inheritance.table?.version ?? 0) + 1,
  });
  const recovery = createRecovery({
    inheritance,
    map,
    registry,
    recorder,
    locator,
    clock,
    timing,
    signal,
  });
  const watch = createLoadWatch(cell, options.loads, clock);
  const placer = createPlacer({
    ...options,
    watch,
    map,
    registry,
    recorder,
    locator,
    tasks,
    signal,
    wake,
    foreignUntil: recovery.formerLeaseExpiry,
  });

  const lead = async (): Promise<void> => {
    registry.refresh();
    await recovery.run();
    await placer.run();
  };
  // Nobody may be left waiting behind a gate that this leader closed.
  signal.addEventListener('abort', locator.stop);
  const unsubscribe = options.store.subscribe(() => wake.notify());
  const leading = lead().catch((err: unknown) => {
    log.error('leading a cell failed', {cell, detail: String(err)});
  });

  const stop = async (): Promise<ShardTable | null> => {
    stopper.abort();
    unsubscribe();
    await leading;
    await registry.ended();
    return recovery.isTableKnown() ? recorder.snapshot() : null;
  };

  const describeServers = (): readonly ServerDescription[] =>
    Array.from(tasks.values(), task => {
      const grant = task.grant();
      const now = clock.now();
      const left = grant === null ? 0 : grant.leaseEnd - now;
      const {name, slots} = task.server;
      const warmUntil = placer.warmUntil();
      return {
        server: name,
        slots,
        capacity: watch.capacityOf(name, slots),
        readiness: readinessOf({registry, now, warmUntil}, task),
        busy: watch.seen(name)?.busy ?? 0,
        health: task.health(),
        leaving: registry.leaving(task),
        shards: task.wanted().size,
        fence: task.fence(),
        leaseLeftMs: left > 0 ? left : null,
      };
    });

  const describeShards = (): readonly ShardDescription[] =>
    Array.from(map.all(), slot => ({
      shard: slot.shard,
      state: slot.state,
      server: slot.server,
      next: slot.next,
      servable: locator.isServable(slot),
      busy: watch.busyOf(slot.shard),
      reason: slot.reason,
      movedAgoMs: Number.isFinite(slot.movedAt)
        ? clock.now() - slot.movedAt
        : null,
    }));

  return {
    led: {
      cell,
      get epoch() {
        return authority.epoch;
      },
      locate: locator.locate,
      mayAct: () => !signal.aborted && authority.mayAct(),
    },
    stop,
    describe: () => ({
      cell,
      epoch: authority.epoch,
      mayAct: !signal.aborted && authority.mayAct(),
      servers: describeServers(),
      shards: describeShards(),
    }),
  };
}
