import type {
  Candidate,
  PlacedShard,
  PlanInput,
} from '@banyandrum/placement/plan.js';
import type {PlacementWeights} from '@banyandrum/config/rules.js';
import type {LeaseRegistry} from './lease-registry.js';
import type {LeaseTask} from './lease-task.js';
import type {LoadWatch} from './load-watch.js';
import type {ShardMap, TrackedShard} from './shard-table.js';

export interface PlanInputOptions {
  readonly map: ShardMap;
  readonly registry: LeaseRegistry;
  readonly loads: LoadWatch;
  readonly weights: PlacementWeights;
  readonly now: number;
  /** Servers that got their lease before this time start warm. */
  readonly warmUntil: number;
}

/** Slow start of a server that came later: from this share up to all. */
const FIRST_READINESS = 0.25;
const SLOW_START_MS = 30_000;

/** A server that says it is cold is given no more than this share. */
const COLD_READINESS = 0.5;

/**
 * Puts together what the planner works on.
 *
 * @example
 * ```ts
 * const moves = planMoves(createPlanInput(options));
 * ```
 */
export function createPlanInput(options: PlanInputOptions): PlanInput {
  const {map, registry, now, weights} = options;
  const candidates: Candidate[] = [];
  for (const task of registry.tasks.values()) {
    const candidate = toCandidate(options, task);
    if (candidate !== null) candidates.push(candidate);
  }
  const shards = Array.from(map.all(), slot => toPlacedShard(options, slot));
  return {now, candidates, shards, weights};
}

/**
 * The share of its slots that a server may be given: none while it leaves,
 * little at first where it came after the others.
 */
export function readinessOf(
  options: Pick<PlanInputOptions, 'registry' | 'now' | 'warmUntil'>,
  task: LeaseTask,
): number {
  const {registry, now, warmUntil} = options;
  if (registry.leaving(task) !== null) return 0;
  const since = task.firstGrantAt();
  if (since === null) return 0;
  const isCold = registry.probe(task)?.last()?.health === 'cold';
  const most = isCold ? COLD_READINESS : 1;
  if (since <= warmUntil) return most;
  const share = Math.min(1, (now - since) / SLOW_START_MS);
  return Math.min(most, FIRST_READINESS + (1 - FIRST_READINESS) * share);
}

/** Only a server whose lease is in force can be given anything. */
function toCandidate(
  options: PlanInputOptions,
  task: LeaseTask,
): Candidate | null {
  const grant = task.grant();
  if (task.health() !== 'ok' || grant === null) return null;
  if (grant.leaseEnd <= options.now) return null;
  const {name, slots} = task.server;
  const seen = options.loads.seen(name);
  return {
    name,
    slots,
    readiness: readinessOf(options, task),
    capacity: options.loads.capacityOf(name, slots),
    busy: seen?.busy ?? 0,
    serviceMs: seen?.serviceMs ?? 0,
  };
}

function toPlacedShard(options: PlanInputOptions, slot: TrackedShard): PlacedShard {
  const {shard, movedAt} = slot;
  return {
    shard,
    // A shard that moves counts at its next server already.
    server: slot.next ?? slot.server,
    load: options.loads.busyOf(shard),
    movedAt,
    pinned: !isMovable(options, slot),
  };
}

/**
 * A shard stays where it is while it changes already, while its server can't
 * be reached (it may come back before its lease lapses), and while a late
 * order of a former leader may still count at its server.
 */
function isMovable(options: PlanInputOptions, slot: TrackedShard): boolean {
  if (slot.isChanging) return false;
  if (slot.server === null) return true;
  const task = options.registry.tasks.get(slot.server);
  if (task === undefined || task.health() !== 'ok') return false;
  return task.foreignUntil() <= options.now;
}
