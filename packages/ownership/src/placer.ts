import type {Logger} from '@banyandrum/base/logger.js';
import type {StateStore} from '@banyandrum/config/store.js';
import type {Move, PlanInput} from '@banyandrum/placement/plan.js';
import {planForcedMoves} from '@banyandrum/placement/plan-moves.js';
import {createPlanner, type Planner} from '@banyandrum/placement/planner.js';
import type {Authority} from './authority.js';
import type {Condition} from './condition.js';
import {
  type HandoverContext,
  PATIENCE_MS,
  freeShard,
  grantShard,
  handOver,
} from './handover.js';
import {createHotKeyTracker} from './hot-shards.js';
import {type HotKeySplit, mergeKey, splitKey} from './hot-split.js';
import type {CellLoad} from './led-cell.js';
import type {LeaseRegistry} from './lease-registry.js';
import type {LoadMonitor} from './load-watch.js';
import {createPlanInput} from './plan-input.js';
import type {Slot} from './shard-table.js';

export interface PlacerOptions extends HandoverContext {
  readonly authority: Authority;
  readonly registry: LeaseRegistry;
  readonly store: StateStore;
  readonly loadMonitor: LoadMonitor;
  readonly log: Logger;
  /** Announces that something may have to be placed. */
  readonly changed: Condition;
  /** When every order of a former leader has lapsed. */
  readonly formerLeaseExpiry: () => number;
  /** Another planner, for experiments. */
  readonly createPlanner?: () => Planner;
}

/** Decides who gets which shard, and carries it out. */
export interface Placer {
  /** Runs until the signal aborts and no change is under way. */
  run(): Promise<void>;
  /** Servers that got their lease before this time start warm. */
  warmUntil(): number;
}

const MAX_WAIT_MS = 500;

/** Moves for balance are planned this often. */
const BALANCE_INTERVAL_MS = 2000;

/** Handovers at once: each stops one shard for a moment. */
const MAX_HANDOVERS = 8;

/** Servers whose lease comes up this soon after the leader count as its first. */
const WARM_START_MS = 3000;

/**
 * Makes the placer of one cell.
 *
 * @example
 * ```ts
 * await createPlacer(options).run();
 * ```
 */
export function createPlacer(options: PlacerOptions): Placer {
  const {
    map,
    registry,
    tasks,
    clock,
    signal,
    log,
    loadMonitor: watch,
    locator,
  } = options;
  const {cell} = options.authority;
  const hotShards = createHotKeyTracker(map);
  const planner = (options.createPlanner ?? createPlanner)();
  const running = new Set<Promise<void>>();
  let handovers = 0;
  let balancedAt = -Infinity;
  let warmUntil = Infinity;

  const run = async (): Promise<void> => {
    warmUntil = clock.now() + WARM_START_MS;
    while (!signal.aborted) {
      registry.refresh();
      reclaimLapsed();
      const load = watch.read(name => tasks.get(name)?.server.slots ?? null);
      const input = createInput();
      for (const move of plan(input)) carryOut(move);
      markStuck(input);
      if (load !== null) adjustHotKeys(load, input);
      locator.settle();
      await options.changed.wait(untilNextLapse(), signal);
    }
    await Promise.all(running);
  };

  const createInput = (): PlanInput =>
    createPlanInput({
      map,
      registry,
      loads: watch,
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

  /** Takes shards back from servers that surely hold them no longer. */
  const reclaimLapsed = (): void => {
    for (const slot of map.all()) {
      if (slot.server === null || slot.busy) continue;
      if (!isLapsed(slot, slot.server)) continue;
      log.info('lease lapsed', {cell, shard: slot.shard, server: slot.server});
      freeShard(options, slot, `the lease of ${slot.server} lapsed`);
    }
  };

  const isLapsed = (slot: Slot, server: string): boolean => {
    const now = clock.now();
    const task = tasks.get(server);
    // Taken over with the table, but not with the server: it wasn't in the
    // inventory, or had another address. Only the former leader's orders count.
    if (!task?.assigned().has(slot.shard))
      return options.formerLeaseExpiry() <= now;
    if (task.health() === 'ok') return false;
    return task.mayHoldUntil(slot.shard) <= now;
  };

  const untilNextLapse = (): number => {
    const now = clock.now();
    let next = now + MAX_WAIT_MS;
    const foreign = options.formerLeaseExpiry();
    if (foreign > now) next = Math.min(next, foreign);
    for (const task of tasks.values()) {
      if (task.health() === 'ok') continue;
      const until = task.mayHoldAnyUntil();
      if (until > now) next = Math.min(next, until);
    }
    return next - now;
  };

  const carryOut = (move: Move): void => {
    const slot = map.get(move.shard);
    if (slot === undefined || slot.busy) return;
    if (slot.server !== null) return startHandover(slot, move.to, move.reason);
    start([slot], grantShard(options, slot, move.to, move.reason));
  };

  const startHandover = (slot: Slot, to: string, reason: string): void => {
    const from = slot.server === null ? undefined : tasks.get(slot.server);
    const mustGo = from !== undefined && registry.leavingReason(from) !== null;
    if (!mustGo && clock.now() < slot.stayUntil) return;
    if (handovers >= MAX_HANDOVERS) return;
    handovers++;
    log.info('handing over', {cell, shard: slot.shard, to, reason});
    const moved = handOver(options, slot, {to, reason, mustGo});
    start([slot], countUntil(moved));
  };

  /**
   * A handover that waits for long requests counts no longer: else a few of
   * them would keep a leaving server's other shards there, and new work with
   * them, for minutes.
   */
  const countUntil = (moved: Promise<void>): Promise<void> => {
    let counts = true;
    const uncount = (): void => {
      if (counts) handovers--;
      counts = false;
    };
    const cancel = clock.after(PATIENCE_MS, () => {
      uncount();
      options.changed.notify();
    });
    return moved.finally(() => {
      cancel();
      uncount();
    });
  };

  const adjustHotKeys = (load: CellLoad, {candidates}: PlanInput): void => {
    if (candidates.length < 2) return;
    const now = clock.now();
    const total = candidates.reduce((sum, c) => sum + c.capacity, 0);
    const capacity = total / candidates.length;
    const changes = hotShards.update(load.hotKeys, capacity, watch.busyOf, now);
    for (const pair of changes.split) {
      log.info('splitting a hot key off', {cell, shard: pair.hot.shard});
      start([pair.hot, pair.range], splitKey(options, pair));
    }
    for (const pair of changes.merge) mergeBack(pair);
  };

  const mergeBack = (pair: HotKeySplit): void => {
    const {hot, range} = pair;
    if (hot.busy || range.busy) return;
    if (hot.server === range.server) {
      start([hot, range], mergeKey(options, pair));
    } else if (range.server !== null) {
      startHandover(hot, range.server, 'hot no more: back to its hash range');
    }
  };

  /** Keeps the slots out of other changes until this one has ended. */
  const start = (slots: readonly Slot[], change: Promise<void>): void => {
    for (const slot of slots) slot.busy = true;
    const ended = change
      .catch((err: unknown) => {
        log.error('change of ownership failed', {cell, detail: String(err)});
      })
      .finally(() => {
        for (const slot of slots) slot.busy = false;
        running.delete(ended);
        options.changed.notify();
      });
    running.add(ended);
  };

  const markStuck = ({candidates}: PlanInput): void => {
    const hasCandidate = candidates.some(({readiness}) => readiness > 0);
    for (const slot of map.all()) {
      slot.stuck = slot.server === null && !hasCandidate;
    }
  };

  return {run, warmUntil: () => warmUntil};
}
