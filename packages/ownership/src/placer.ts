import type {CellId} from '@banyandrum/base/ids.js';
import type {Logger} from '@banyandrum/base/logger.js';
import type {StateStore} from '@banyandrum/config/store.js';
import type {
  Candidate,
  Move,
  PlacedShard,
  PlanInput,
} from '@banyandrum/placement/plan.js';
import {planMoves} from '@banyandrum/placement/plan-moves.js';
import type {Authority} from './authority.js';
import type {Condition} from './condition.js';
import {
  type HandoverContext,
  freeShard,
  grantShard,
  handOver,
} from './handover.js';
import type {CellLoad, LoadSource} from './led-cell.js';
import type {LeaseRegistry} from './lease-registry.js';
import type {LeaseTask} from './lease-task.js';
import type {ShardMap, Slot} from './shard-table.js';

export interface PlacerOptions extends HandoverContext {
  readonly authority: Authority;
  readonly map: ShardMap;
  readonly registry: LeaseRegistry;
  readonly store: StateStore;
  readonly loads: LoadSource;
  readonly log: Logger;
  /** Announces that something may have to be placed. */
  readonly wake: Condition;
  /** When every order of a former leader has lapsed. */
  readonly foreignUntil: () => number;
}

/** Decides who gets which shard, and carries it out. */
export interface Placer {
  /** Runs until the signal aborts and no change is under way. */
  run(): Promise<void>;
}

const TICK_MS = 500;

/** Handovers at once: each stops one shard for a moment. */
const MAX_HANDOVERS = 8;

/**
 * Makes the placer of one cell.
 *
 * @example
 * ```ts
 * await createPlacer(options).run();
 * ```
 */
export function createPlacer(options: PlacerOptions): Placer {
  const {map, registry, clock, signal, log, locator} = options;
  const cell: CellId = options.authority.cell;
  const running = new Set<Promise<void>>();
  let handovers = 0;

  const run = async (): Promise<void> => {
    while (!signal.aborted) {
      registry.refresh();
      reclaimLapsed();
      place();
      locator.settle();
      await options.wake.wait(untilNextLapse(), signal);
    }
    await Promise.all(running);
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
    const task = options.tasks.get(server);
    if (task === undefined) return options.foreignUntil() <= now;
    if (task.health() === 'ok') return false;
    return task.mayHoldUntil(slot.shard) <= now;
  };

  const untilNextLapse = (): number => {
    const now = clock.now();
    let next = now + TICK_MS;
    for (const task of options.tasks.values()) {
      if (task.health() === 'ok') continue;
      const until = task.mayHoldAnyUntil();
      if (until > now) next = Math.min(next, until);
    }
    return next - now;
  };

  const place = (): void => {
    const input = createInput(options, options.loads.read(cell));
    for (const move of planMoves(input)) carryOut(move);
    markStuck(input.candidates.some(({readiness}) => readiness > 0));
  };

  const carryOut = (move: Move): void => {
    const slot = map.get(move.shard);
    if (slot === undefined || slot.busy) return;
    if (slot.server === null) {
      start(grantShard(options, slot, move.to, move.reason));
      return;
    }
    if (handovers >= MAX_HANDOVERS) return;
    handovers++;
    const moved = handOver(options, slot, move.to, move.reason);
    start(moved.finally(() => handovers--));
  };

  const start = (change: Promise<void>): void => {
    const ended = change
      .catch((err: unknown) => {
        log.error('change of ownership failed', {cell, detail: String(err)});
      })
      .finally(() => {
        running.delete(ended);
        options.wake.notify();
      });
    running.add(ended);
  };

  const markStuck = (hasCandidate: boolean): void => {
    for (const slot of map.all()) {
      slot.stuck = slot.server === null && !hasCandidate;
    }
  };

  return {run};
}

function createInput(options: PlacerOptions, load: CellLoad): PlanInput {
  const now = options.clock.now();
  const candidates: Candidate[] = [];
  for (const task of options.tasks.values()) {
    const candidate = toCandidate(options, task, load, now);
    if (candidate !== null) candidates.push(candidate);
  }
  const loads = new Map(load.shards.map(({shard, busy}) => [shard, busy]));
  const shards: PlacedShard[] = [];
  for (const slot of options.map.all()) {
    if (!isMovable(options, slot, now)) continue;
    const {shard, server, movedAt} = slot;
    shards.push({shard, server, load: loads.get(shard) ?? 0, movedAt});
  }
  return {
    now,
    candidates,
    shards,
    weights: options.store.current().rules.weights,
  };
}

/** Only a server whose lease is in force can be given anything. */
function toCandidate(
  options: PlacerOptions,
  task: LeaseTask,
  load: CellLoad,
  now: number,
): Candidate | null {
  const grant = task.grant();
  if (task.health() !== 'ok' || grant === null) return null;
  if (grant.leaseEnd <= now) return null;
  const {name, slots} = task.server;
  const seen = load.servers.find(({server}) => server === name);
  return {
    name,
    slots,
    readiness: options.registry.leaving(task) === null ? 1 : 0,
    capacity: slots,
    busy: seen?.busy ?? 0,
  };
}

/**
 * A shard stays where it is while it changes already, while its server can't
 * be reached (it may come back before its lease lapses), and while a late
 * order of a former leader may still count at its server.
 */
function isMovable(options: PlacerOptions, slot: Slot, now: number): boolean {
  if (slot.busy) return false;
  if (slot.server === null) return true;
  const task = options.tasks.get(slot.server);
  if (task === undefined || task.health() !== 'ok') return false;
  return task.foreignUntil() <= now;
}
