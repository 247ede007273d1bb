import type {Logger} from '@banyandrum/base/logger.js';
import type {StateStore} from '@banyandrum/config/store.js';
import type {Move, PlanInput} from '@banyandrum/placement/plan.js';
import {planForcedMoves} from '@banyandrum/placement/plan-moves.js';
import {createPlanner, type Planner} from '@banyandrum/placement/planner.js';
import type {Authority} from './authority.js';
import type {Condition} from './condition.js';
import {
  type HandoverContext,
  MAX_QUIESCE_MS,
  freeShard,
  grantShard,
  handOver,
} from './handover.js';
import {createHotKeyTracker} from './hot-shards.js';
import {type HotKeySplit, mergeKey, splitKey} from './hot-split.js';
import type {CellLoad} from './led-cell.js';
import type {LeaseRegistry} from './lease-registry.js';
import type {LoadMonitor} from './load-monitor.js';
import {createPlanInput} from './plan-input.js';
import type {TrackedShard} from './shard-table.js';

export interface PlacerOptions extends HandoverContext {
  readonly authority: Authority;
  readonly registry: LeaseRegistry;
  readonly store: StateStore;
  readonly loadMonitor: LoadMonitor;
  readonly log: Logger;
  /** Notified when a shard may have to be placed. */
  readonly changed: Condition;
  /** When every lease that a former leader granted has expired. */
  readonly formerLeaseExpiry: () => number;
  /** Creates an alternative planner, for experiments. */
  readonly createPlanner?: () => Planner;
}

/** Decides which server gets which shard, and carries the changes out. */
export interface Placer {
  /** Runs until the signal aborts and no change is in progress. */
  run(): Promise<void>;
  /** Servers first leased before this time skip the slow start. */
  warmUntil(): number;
}

const MAX_WAIT_MS = 500;

/** Interval between plans that include moves for balance. */
const BALANCE_INTERVAL_MS = 2000;

/** Maximum concurrent handovers; each briefly stops dispatch of one shard. */
const MAX_HANDOVERS = 8;

/**
 * Servers that get their lease within this time after the leader started skip
 * the slow start.
 */
const WARM_START_MS = 3000;

/**
 * Creates the placer of one cell.
 *
 * @example
 * ```ts
 * await createPlacer(options).run();
 * ```
 */
export function createPlacer(options: PlacerOptions): Placer {
  const {map, registry, tasks, clock, signal, log, loadMonitor, locator} =
    options;
  const {cell} = options.authority;
  const hotKeyTracker = createHotKeyTracker(map);
  const planner = (options.createPlanner ?? createPlanner)();
  const running = new Set<Promise<void>>();
  let handovers = 0;
  let balancedAt = -Infinity;
  let warmUntil = Infinity;

  const run = async (): Promise<void> => {
    warmUntil = clock.now() + WARM_START_MS;
    while (!signal.aborted) {
      registry.refresh();
      freeExpired();
      const load = loadMonitor.read(
        name => tasks.get(name)?.server.slots ?? null,
      );
      const input = createInput();
      for (const move of plan(input)) applyMove(move);
      updateStuck(input);
      if (load !== null) adjustHotKeys(load, input);
      locator.resumeSettled();
      await options.changed.wait(msUntilNextExpiry(), signal);
    }
    await Promise.all(running);
  };

  const createInput = (): PlanInput =>
    createPlanInput({
      map,
      registry,
      loads: loadMonitor,
      weights: options.store.current().rules.weights,
      now: clock.now(),
      warmUntil,
    });

  const plan = (input: PlanInput): readonly Move[] => {
    if (clock.now() - balancedAt < BALANCE_INTERVAL_MS)
      return planForcedMoves(input);
    balancedAt = clock.now();
    return planner.plan(input);
  };

  /** Frees shards of servers whose lease has certainly expired. */
  const freeExpired = (): void => {
    for (const tracked of map.all()) {
      if (tracked.server === null || tracked.isChanging) continue;
      if (!isExpired(tracked, tracked.server)) continue;
      log.info('lease expired', {
        cell,
        shard: tracked.shard,
        server: tracked.server,
      });
      freeShard(options, tracked, `the lease of ${tracked.server} expired`);
    }
  };

  const isExpired = (tracked: TrackedShard, server: string): boolean => {
    const now = clock.now();
    const task = tasks.get(server);
    // The shard came with the former leader's table, but its server was not in
    // the inventory or had another address. So this leader has leased it
    // nothing, and only the former leader's leases count.
    if (!task?.assigned().has(tracked.shard))
      return options.formerLeaseExpiry() <= now;
    if (task.health() === 'ok') return false;
    return task.mayHoldUntil(tracked.shard) <= now;
  };

  const msUntilNextExpiry = (): number => {
    const now = clock.now();
    let next = now + MAX_WAIT_MS;
    const formerExpiry = options.formerLeaseExpiry();
    if (formerExpiry > now) next = Math.min(next, formerExpiry);
    for (const task of tasks.values()) {
      if (task.health() === 'ok') continue;
      const until = task.mayHoldAnyUntil();
      if (until > now) next = Math.min(next, until);
    }
    return next - now;
  };

  const applyMove = (move: Move): void => {
    const tracked = map.get(move.shard);
    if (tracked === undefined || tracked.isChanging) return;
    if (tracked.server !== null)
      return startHandover(tracked, move.to, move.reason);
    runChange([tracked], grantShard(options, tracked, move.to, move.reason));
  };

  const startHandover = (
    tracked: TrackedShard,
    to: string,
    reason: string,
  ): void => {
    const from =
      tracked.server === null ? undefined : tasks.get(tracked.server);
    const isMandatory =
      from !== undefined && registry.leavingReason(from) !== null;
    if (!isMandatory && clock.now() < tracked.postponedUntil) return;
    if (handovers >= MAX_HANDOVERS) return;
    handovers++;
    log.info('handing over', {cell, shard: tracked.shard, to, reason});
    const moved = handOver(options, tracked, {to, reason, isMandatory});
    runChange([tracked], countHandover(moved));
  };

  /**
   * Counts a handover towards the limit, but only for a while if it waits for
   * long requests. Otherwise a few such handovers would keep the other shards
   * of a leaving server there for minutes, with new requests for them.
   */
  const countHandover = (moved: Promise<void>): Promise<void> => {
    let isCounted = true;
    const release = (): void => {
      if (isCounted) handovers--;
      isCounted = false;
    };
    const cancel = clock.after(MAX_QUIESCE_MS, () => {
      release();
      options.changed.notify();
    });
    return moved.finally(() => {
      cancel();
      release();
    });
  };

  const adjustHotKeys = (load: CellLoad, {candidates}: PlanInput): void => {
    if (candidates.length < 2) return;
    const now = clock.now();
    const total = candidates.reduce((sum, c) => sum + c.capacity, 0);
    const capacity = total / candidates.length;
    const changes = hotKeyTracker.update(
      load.hotKeys,
      capacity,
      loadMonitor.busyOf,
      now,
    );
    for (const hotKeySplit of changes.split) {
      log.info('splitting off a hot key', {cell, shard: hotKeySplit.hot.shard});
      runChange(
        [hotKeySplit.hot, hotKeySplit.range],
        splitKey(options, hotKeySplit),
      );
    }
    for (const hotKeySplit of changes.merge) mergeHotKey(hotKeySplit);
  };

  const mergeHotKey = (hotKeySplit: HotKeySplit): void => {
    const {hot, range} = hotKeySplit;
    if (hot.isChanging || range.isChanging) return;
    if (hot.server === range.server) {
      runChange([hot, range], mergeKey(options, hotKeySplit));
    } else if (range.server !== null) {
      startHandover(
        hot,
        range.server,
        'not hot any more; merging into its hash range',
      );
    }
  };

  /** Runs a change; no other change touches its shards until it has ended. */
  const runChange = (
    shards: readonly TrackedShard[],
    change: Promise<void>,
  ): void => {
    for (const tracked of shards) tracked.isChanging = true;
    const ended = change
      .catch((err: unknown) => {
        log.error('ownership change failed', {cell, detail: String(err)});
      })
      .finally(() => {
        for (const tracked of shards) tracked.isChanging = false;
        running.delete(ended);
        options.changed.notify();
      });
    running.add(ended);
  };

  const updateStuck = ({candidates}: PlanInput): void => {
    const hasCandidate = candidates.some(({readiness}) => readiness > 0);
    for (const tracked of map.all()) {
      tracked.isUnplaceable = tracked.server === null && !hasCandidate;
    }
  };

  return {run, warmUntil: () => warmUntil};
}
