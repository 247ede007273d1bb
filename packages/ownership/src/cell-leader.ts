import {setMaxListeners} from 'node:events';
import type {Clock} from '@banyandrum/base/clock.js';
import type {CellId, Fence, Offset, ShardId} from '@banyandrum/base/ids.js';
import type {Logger} from '@banyandrum/base/logger.js';
import type {Service} from '@banyandrum/config/inventory.js';
import type {Timing} from '@banyandrum/config/rules.js';
import type {StateStore} from '@banyandrum/config/store.js';
import type {ServerClient} from '@banyandrum/servers/client.js';
import type {Authority, InheritedState} from './authority.js';
import type {Planner} from '@banyandrum/placement/planner.js';
import {createCondition} from './condition.js';
import type {DispatchGate, LedCell, LoadSource} from './led-cell.js';
import {createLeaseRegistry} from './lease-registry.js';
import {type HostWatch, parseCell} from './lease-servers.js';
import type {LeaseHealth} from './lease-task.js';
import {createLeaseTiming} from './lease-timing.js';
import {createLoadMonitor} from './load-monitor.js';
import {readinessOf} from './plan-input.js';
import {createPlacer} from './placer.js';
import {createRecovery} from './recovery.js';
import {createShardLocator} from './shard-locator.js';
import {createShardMap, createTableRecorder} from './shard-table.js';
import type {ShardState, ShardTable} from './table.js';

export interface CellLeaderOptions {
  readonly service: Service;
  readonly authority: Authority;
  readonly inheritance: InheritedState;
  readonly store: StateStore;
  readonly serverClient: ServerClient;
  readonly hostWatch: HostWatch;
  readonly gate: DispatchGate;
  readonly loads: LoadSource;
  readonly clock: Clock;
  readonly log: Logger;
  readonly timing: Timing;
  /** Aborting ends the leadership at once, as `stop` does. */
  readonly signal: AbortSignal;
  /** Replaces the default planner of shard moves, for experiments. */
  readonly createPlanner?: () => Planner;
}

/** State of one server of a cell, for status output and explanations. */
export interface ServerDescription {
  readonly server: string;
  readonly health: LeaseHealth;
  /** Why its shards are being moved away; null if they are not. */
  readonly leaving: string | null;
  readonly shards: number;
  readonly fence: Fence;
  /** Guaranteed remaining time of its lease, in ms; null without a lease. */
  readonly leaseLeftMs: number | null;
  readonly slots: number;
  /** Number of slots that it has been observed to keep in use. */
  readonly capacity: number;
  /** Share of that capacity that placement may use, 0 to 1. */
  readonly readiness: number;
  /** Average number of slots in use over the last period. */
  readonly busy: number;
}

/** State of one shard of a cell, for status output and explanations. */
export interface ShardDescription {
  readonly shard: ShardId;
  readonly state: ShardState;
  readonly server: string | null;
  readonly next: string | null;
  readonly servable: boolean;
  /** Smoothed number of slots that its requests use. */
  readonly busy: number;
  /** Reason for its latest change of server. */
  readonly reason: string;
  /** Time since its last move, in ms; null if it has not moved. */
  readonly movedAgoMs: number | null;
}

/** State of a cell, as its leader describes it for status output. */
export interface CellDescription {
  readonly cell: CellId;
  readonly epoch: Offset;
  readonly mayAct: boolean;
  readonly servers: readonly ServerDescription[];
  readonly shards: readonly ShardDescription[];
}

/** This process's leadership of one cell. */
export interface CellLeader {
  readonly led: LedCell;
  /**
   * Ends the leadership. No lease call is sent after the promise resolves.
   * Resolves with the table for the successor, or with null if this leader
   * hasn't learned the table itself yet: a successor that took the unknown
   * shards for free would grant them to a second server.
   */
  stop(): Promise<ShardTable | null>;
  describe(): CellDescription;
}

/**
 * Starts to lead a cell: recovers the former leader's table, renews the leases
 * of the cell's servers, and moves shards as servers join, leave and change
 * in load.
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
  // Each handover in progress and each server's lease task adds a listener.
  setMaxListeners(0, signal);
  const timing = createLeaseTiming(options.timing);
  const changed = createCondition(clock);
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
    onExchange: (_, healthChanged) => {
      locator.resumeSettled();
      if (healthChanged) changed.notify();
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
  const loadMonitor = createLoadMonitor(cell, options.loads, clock);
  const placer = createPlacer({
    ...options,
    loadMonitor,
    map,
    registry,
    recorder,
    locator,
    tasks,
    signal,
    changed,
    formerLeaseExpiry: recovery.formerLeaseExpiry,
  });

  const lead = async (): Promise<void> => {
    registry.refresh();
    await recovery.run();
    await placer.run();
  };
  // Requests that wait at a gate closed by this leader must be released.
  signal.addEventListener('abort', locator.stop);
  const unsubscribe = options.store.subscribe(() => changed.notify());
  const leading = lead().catch((err: unknown) => {
    log.error('leading the cell failed', {cell, detail: String(err)});
  });

  const stop = async (): Promise<ShardTable | null> => {
    stopper.abort();
    unsubscribe();
    await leading;
    await registry.waitForTasks();
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
        capacity: loadMonitor.capacityOf(name, slots),
        readiness: readinessOf({registry, now, warmUntil}, task),
        busy: loadMonitor.lastObservation(name)?.busy ?? 0,
        health: task.health(),
        leaving: registry.leavingReason(task),
        shards: task.assigned().size,
        fence: task.fence(),
        leaseLeftMs: left > 0 ? left : null,
      };
    });

  const describeShards = (): readonly ShardDescription[] =>
    Array.from(map.all(), tracked => ({
      shard: tracked.shard,
      state: tracked.state,
      server: tracked.server,
      next: tracked.next,
      servable: locator.isServable(tracked),
      busy: loadMonitor.busyOf(tracked.shard),
      reason: tracked.reason,
      movedAgoMs: Number.isFinite(tracked.movedAt)
        ? clock.now() - tracked.movedAt
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
