import type {
  Candidate,
  PlacedShard,
  PlanInput,
} from '@banyandrum/placement/plan.js';
import type {PlacementWeights} from '@banyandrum/config/rules.js';
import type {LeaseRegistry} from './lease-registry.js';
import type {LeaseTask} from './lease-task.js';
import type {LoadMonitor} from './load-monitor.js';
import type {ShardMap, TrackedShard} from './shard-table.js';

export interface PlanInputOptions {
  readonly map: ShardMap;
  readonly registry: LeaseRegistry;
  readonly loads: LoadMonitor;
  readonly weights: PlacementWeights;
  readonly now: number;
  /** Servers first leased before this time skip the slow start. */
  readonly warmUntil: number;
}

/** Readiness at which the slow start of a newly added server begins. */
const INITIAL_READINESS = 0.25;

/** Time until a newly added server reaches full readiness. */
const SLOW_START_MS = 30_000;

/** Maximum readiness of a server that reports itself as cold. */
const COLD_READINESS = 0.5;

/**
 * Builds the input of the placement planner.
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
  const shards = Array.from(map.all(), tracked =>
    toPlacedShard(options, tracked),
  );
  return {now, candidates, shards, weights};
}

/**
 * The share of its slots that a server may be assigned. It is 0 while the
 * server leaves, and rises from `INITIAL_READINESS` for a server that was added
 * after the others.
 */
export function readinessOf(
  options: Pick<PlanInputOptions, 'registry' | 'now' | 'warmUntil'>,
  task: LeaseTask,
): number {
  const {registry, now, warmUntil} = options;
  if (registry.leavingReason(task) !== null) return 0;
  const grantedAt = task.firstGrantAt();
  if (grantedAt === null) return 0;
  const isCold = registry.probe(task)?.last()?.health === 'cold';
  const maxReadiness = isCold ? COLD_READINESS : 1;
  if (grantedAt <= warmUntil) return maxReadiness;
  const share = Math.min(1, (now - grantedAt) / SLOW_START_MS);
  return Math.min(
    maxReadiness,
    INITIAL_READINESS + (1 - INITIAL_READINESS) * share,
  );
}

/** Null unless the lease is in force: only then may the server get shards. */
function toCandidate(
  options: PlanInputOptions,
  task: LeaseTask,
): Candidate | null {
  const grant = task.grant();
  if (task.health() !== 'ok' || grant === null) return null;
  if (grant.leaseEnd <= options.now) return null;
  const {name, slots} = task.server;
  const observation = options.loads.lastObservation(name);
  return {
    name,
    slots,
    readiness: readinessOf(options, task),
    capacity: options.loads.capacityOf(name, slots),
    busy: observation?.busy ?? 0,
    serviceMs: observation?.serviceMs ?? 0,
  };
}

function toPlacedShard(
  options: PlanInputOptions,
  tracked: TrackedShard,
): PlacedShard {
  const {shard, movedAt} = tracked;
  return {
    shard,
    // A moving shard already counts towards its next server.
    server: tracked.next ?? tracked.server,
    load: options.loads.busyOf(shard),
    movedAt,
    pinned: !isMovable(options, tracked),
  };
}

/**
 * Whether a shard may be moved. It may not while a change of it is in progress,
 * while its server doesn't answer (it may come back before its lease expires),
 * and while a lease that a former leader granted may be in force at its server.
 */
function isMovable(options: PlanInputOptions, tracked: TrackedShard): boolean {
  if (tracked.isChanging) return false;
  if (tracked.server === null) return true;
  const task = options.registry.tasks.get(tracked.server);
  if (task === undefined || task.health() !== 'ok') return false;
  return task.formerLeaseExpiry() <= options.now;
}
