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
import {createHotShards} from './hot-shards.js';
import {type HotPair, mergeKey, splitKey} from './hot-split.js';
import type {CellLoad} from './led-cell.js';
import type {LeaseRegistry} from './lease-registry.js';
import type {LoadWatch} from './load-watch.js';
import {createPlanInput} from './plan-input.js';
import type {TrackedShard} from './shard-table.js';

export interface PlacerOptions extends HandoverContext {
  readonly authority: Authority;
  readonly registry: LeaseRegistry;
  readonly store: StateStore;
  readonly watch: LoadWatch;
  readonly log: Logger;
  /** Announces that something may have to be placed. */
  readonly wake: Condition;
  /** When every order of a former leader has lapsed. */
  readonly foreignUntil: () => number;
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

const TICK_MS = 500;

/** Moves for balance are planned this often. */
const BALANCE_MS = 2000;

/** Handovers at once: each stops one shard for a moment. */
const MAX_HANDOVERS = 8;

/** Servers whose lease comes up this soon after the leader count as its first. */
const WARM_MS = 3000;

/**
 * Makes the placer of one cell.
 *
 * @example
 * ```ts
 * await createPlacer(options).run();
 * ```
 */
export function createPlacer(options: PlacerOptions): Placer {
  const {map, registry, tasks, clock, signal, log, watch, locator} = options;
  const {cell} = options.authority;
  const hotShards = createHotShards(map);
  const planner = (options.createPlanner ?? createPlanner)();
  const running = new Set<Promise<void>>();
  let handovers = 0;
  let balancedAt = -Infinity;
  let warmUntil = Infinity;

  const run = async (): Promise<void> => {
    warmUntil = clock.now() + WARM_MS;
    while (!signal.aborted) {
      registry.refresh();
      reclaimLapsed();
      const load = watch.read(name => tasks.get(name)?.server.slots ?? null);
      const input = createInput();
      for (const move of plan(input)) carryOut(move);
      markStuck(input);
      if (load !== null) adjustHotKeys(load, input);
      locator.resumeSettled();
      await options.wake.wait(untilNextLapse(), signal);
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
    if (clock.now() - balancedAt < BALANCE_MS) return planForcedMoves(input);
    balancedAt = clock.now();
    return planner.plan(input);
  };

  /** Takes shards back from servers that surely hold them no longer. */
  const reclaimLapsed = (): void => {
    for (const slot of map.all()) {
      if (slot.server === null || slot.isChanging) continue;
      if (!isLapsed(slot, slot.server)) continue;
      log.info('lease lapsed', {cell, shard: slot.shard, server: slot.server});
      freeShard(options, slot, `the lease of ${slot.server} lapsed`);
    }
  };

  const isLapsed = (slot: TrackedShard, server: string): boolean => {
    const now = clock.now();
    const task = tasks.get(server);
    // Taken over with the table, but not with the server: it wasn't in the
    // inventory, or had another address. Only the former leader's orders count.
    if (!task?.wanted().has(slot.shard)) return options.foreignUntil() <= now;
    if (task.health() === 'ok') return false;
    return task.mayHoldUntil(slot.shard) <= now;
  };

  const untilNextLapse = (): number => {
    const now = clock.now();
    let next = now + TICK_MS;
    const foreign = options.foreignUntil();
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
    if (slot === undefined || slot.isChanging) return;
    if (slot.server !== null) return startHandover(slot, move.to, move.reason);
    start([slot], grantShard(options, slot, move.to, move.reason));
  };

  const startHandover = (slot: TrackedShard, to: string, reason: string): void => {
    const from = slot.server === null ? undefined : tasks.get(slot.server);
    const mustGo = from !== undefined && registry.leaving(from) !== null;
    if (!mustGo && clock.now() < slot.postponedUntil) return;
    if (handovers >= MAX_HANDOVERS) return;
    handovers++;
    log.info('handing over', {cell, shard: slot.shard, to, reason});
    const moved = handOver(options, slot, {to, reason, isMandatory: mustGo});
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
    const cancel = clock.after(MAX_QUIESCE_MS, () => {
      uncount();
      options.wake.notify();
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
    const changes = hotShards.note(load.hotKeys, capacity, watch.busyOf, now);
    for (const pair of changes.split) {
      log.info('splitting a hot key off', {cell, shard: pair.hot.shard});
      start([pair.hot, pair.range], splitKey(options, pair));
    }
    for (const pair of changes.merge) mergeBack(pair);
  };

  const mergeBack = (pair: HotPair): void => {
    const {hot, range} = pair;
    if (hot.isChanging || range.isChanging) return;
    if (hot.server === range.server) {
      start([hot, range], mergeKey(options, pair));
    } else if (range.server !== null) {
      startHandover(hot, range.server, 'hot no more: back to its hash range');
    }
  };

  /** Keeps the slots out of other changes until this one has ended. */
  const start = (slots: readonly TrackedShard[], change: Promise<void>): void => {
    for (const slot of slots) slot.isChanging = true;
    const ended = change
      .catch((err: unknown) => {
        log.error('change of ownership failed', {cell, detail: String(err)});
      })
      .finally(() => {
        for (const slot of slots) slot.isChanging = false;
        running.delete(ended);
        options.wake.notify();
      });
    running.add(ended);
  };

  const markStuck = ({candidates}: PlanInput): void => {
    const hasCandidate = candidates.some(({readiness}) => readiness > 0);
    for (const slot of map.all()) {
      slot.isUnplaceable = slot.server === null && !hasCandidate;
    }
  };

  return {run, warmUntil: () => warmUntil};
}
