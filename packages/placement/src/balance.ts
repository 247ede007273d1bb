import type {MoveFilter} from './move-filter.js';
import type {ServerLoad, ServerLoads} from './server-loads.js';
import type {Move, PlacedShard, PlanInput, Weights} from './plan.js';

/** Maximum moves per plan; the next plan takes their effect into account. */
const MAX_MOVES = 8;

/** Minimum time between two moves of a shard, so that it isn't moved back. */
export const MIN_STAY_MS = 30_000;

/**
 * Cost of moving all shards once, in units of imbalance. With equal weights, a
 * small shard moves if its server's utilization exceeds the receiver's by about
 * an eighth of the mean.
 */
const CHURN_COST = 0.12;

/** Cost of an average shard's unavailability during its move. */
const UNAVAILABLE_COST = 0.12;

/**
 * Makes the cost of unavailability grow faster than a shard's load: both the
 * number of requests that queue up during the move and the time to work them
 * off grow with the load.
 */
const QUEUEING_COST = 2;

/**
 * Factor for the gain of moving a shard off a full server. The measured load of
 * a server can't exceed its slots, so imbalance doesn't show how much demand
 * there is beyond them, while the server refuses requests.
 */
const FULL_SERVER_GAIN = 6;

/** Utilization from which a server counts as full. */
const FULL_UTILIZATION = 0.85;

/** Utilization up to which a server counts as having spare capacity. */
const SPARE_UTILIZATION = 0.65;

/** A shard that takes at least this share of its server's capacity is hot. */
const HOT_SHARD_SHARE = 0.25;

/** Number of least utilized servers that are considered as receivers. */
const MAX_RECEIVERS = 3;

interface PlannedMove {
  readonly shard: PlacedShard;
  readonly from: ServerLoad;
  readonly to: ServerLoad;
  /** Reduction of imbalance minus the cost of the move; positive. */
  readonly netGain: number;
}

interface Plan {
  readonly moves: readonly PlannedMove[];
  readonly netGain: number;
}

/** State of the greedy search; it updates the server loads with each move. */
interface Search {
  readonly weights: Weights;
  readonly servers: readonly ServerLoad[];
  readonly weightOf: (shard: PlacedShard) => number;
  readonly move: ServerLoads['move'];
  readonly isAllowed: (from: ServerLoad, to: ServerLoad) => boolean;
  readonly totalCapacity: number;
  readonly totalWeight: number;
  readonly totalLoad: number;
  readonly count: number;
}

/**
 * Plans moves that reduce imbalance by more than they cost in churn and
 * unavailability. It compares a plan that may move hot shards with one that
 * moves only other shards, and returns the better one.
 *
 * @example
 * ```ts
 * const moves = balance(input, createServerLoads(input));
 * ```
 */
export function balance(
  input: PlanInput,
  servers: ServerLoads,
  isAllowed: MoveFilter = () => true,
): readonly Move[] {
  const movable = input.shards.filter(shard =>
    isMovable(shard, input, servers),
  );
  const search = createSearch(input, servers, isAllowed);
  const withHotShards = searchGreedily(search, movable);
  const coldShards = movable.filter(shard => !isHot(shard, servers));
  const withoutHotShards =
    coldShards.length < movable.length
      ? searchGreedily(search, coldShards)
      : withHotShards;
  const best =
    withoutHotShards.netGain > withHotShards.netGain
      ? withoutHotShards
      : withHotShards;
  return best.moves.map(move => toMove(move, search));
}

/**
 * Imbalance of the servers' utilization: the mean squared relative deviation
 * from the mean, weighted by capacity. 0 if all are equally utilized.
 *
 * @example
 * ```ts
 * imbalanceOf([...servers.byName.values()]);
 * ```
 */
export function imbalanceOf(servers: readonly ServerLoad[]): number {
  const capacity = sum(servers, c => c.candidate.capacity);
  const mean = sum(servers, c => c.weight) / capacity;
  if (!(mean > 0)) return 0;
  return sum(servers, c => {
    const share = c.candidate.capacity / capacity;
    return share * (utilization(c) / mean - 1) ** 2;
  });
}

function createSearch(
  input: PlanInput,
  servers: ServerLoads,
  isAllowed: MoveFilter,
): Search {
  const list = [...servers.byName.values()].filter(
    ({candidate}) => candidate.readiness > 0 && candidate.capacity > 0,
  );
  const {imbalance, churn, unavailable} = input.weights;
  const total = imbalance + churn + unavailable || 1;
  return {
    weights: {
      imbalance: imbalance / total,
      churn: churn / total,
      unavailable: unavailable / total,
    },
    servers: list,
    weightOf: servers.weightOf,
    move: servers.move,
    isAllowed: (from, to) => isAllowed(from, to, servers),
    totalCapacity: sum(list, c => c.candidate.capacity),
    totalWeight: sum(list, c => c.weight),
    totalLoad: sum(input.shards, shard => shard.load),
    count: input.shards.length,
  };
}

function searchGreedily(search: Search, movable: readonly PlacedShard[]): Plan {
  const candidates = new Set(movable);
  const moves: PlannedMove[] = [];
  while (moves.length < MAX_MOVES) {
    const move = findBestMove(search, candidates);
    if (move === null) break;
    search.move(move.shard, move.from, move.to);
    candidates.delete(move.shard);
    moves.push(move);
  }
  for (const {shard, from, to} of moves) search.move(shard, to, from);
  return {moves, netGain: sum(moves, ({netGain}) => netGain)};
}

function findBestMove(
  search: Search,
  shards: ReadonlySet<PlacedShard>,
): PlannedMove | null {
  const byName = new Map(search.servers.map(c => [c.candidate.name, c]));
  const receivers = [...search.servers]
    .sort((a, b) => utilization(a) - utilization(b) || compareNames(a, b))
    .slice(0, MAX_RECEIVERS);
  let best: PlannedMove | null = null;
  for (const shard of shards) {
    const from = shard.server === null ? undefined : byName.get(shard.server);
    if (from === undefined) continue;
    for (const to of receivers) {
      if (to === from || !hasRoom(search, shard, to)) continue;
      if (!search.isAllowed(from, to)) continue;
      const netGain = netGainOf(search, shard, from, to);
      if (netGain > (best?.netGain ?? 0)) best = {shard, from, to, netGain};
    }
  }
  return best;
}

/** Whether a server in slow start stays within its usable capacity. */
function hasRoom(search: Search, shard: PlacedShard, to: ServerLoad): boolean {
  const {candidate, usableCapacity, weight} = to;
  if (candidate.readiness >= 1) return true;
  const mean = search.totalWeight / search.totalCapacity;
  return weight + search.weightOf(shard) <= usableCapacity * mean;
}

function netGainOf(
  search: Search,
  shard: PlacedShard,
  from: ServerLoad,
  to: ServerLoad,
): number {
  const {weights} = search;
  const gain = imbalanceReduction(search, search.weightOf(shard), from, to);
  const factor = isFull(from) && hasSpareCapacity(to) ? FULL_SERVER_GAIN : 1;
  return weights.imbalance * factor * gain - moveCost(search, shard, from);
}

function isFull({busy, candidate}: ServerLoad): boolean {
  return busy >= candidate.capacity * FULL_UTILIZATION;
}

function hasSpareCapacity({busy, candidate}: ServerLoad): boolean {
  return busy <= candidate.capacity * SPARE_UTILIZATION;
}

/** By how much the move reduces `imbalanceOf`. */
function imbalanceReduction(
  search: Search,
  weight: number,
  from: ServerLoad,
  to: ServerLoad,
): number {
  const {totalCapacity, totalWeight} = search;
  const mean = totalWeight / totalCapacity;
  if (!(mean > 0)) return 0;
  const term = (server: ServerLoad, load: number): number => {
    const {capacity} = server.candidate;
    return (capacity / totalCapacity) * (load / capacity / mean - 1) ** 2;
  };
  const before = term(from, from.weight) + term(to, to.weight);
  const after = term(from, from.weight - weight) + term(to, to.weight + weight);
  return before - after;
}

function moveCost(
  search: Search,
  shard: PlacedShard,
  from: ServerLoad,
): number {
  const {weights, count, totalLoad} = search;
  const churn = CHURN_COST / Math.max(1, count);
  const share = totalLoad > 0 ? shard.load / totalLoad : 0;
  const queueing = 1 + QUEUEING_COST * (shard.load / from.candidate.capacity);
  const unavailable = UNAVAILABLE_COST * share * queueing;
  return weights.churn * churn + weights.unavailable * unavailable;
}

function isMovable(
  shard: PlacedShard,
  input: PlanInput,
  servers: ServerLoads,
): boolean {
  if (shard.pinned || shard.server === null) return false;
  if (!servers.byName.has(shard.server)) return false;
  return input.now - shard.movedAt >= MIN_STAY_MS;
}

function isHot(shard: PlacedShard, servers: ServerLoads): boolean {
  const server = servers.byName.get(shard.server ?? '');
  if (server === undefined) return false;
  return shard.load >= server.candidate.capacity * HOT_SHARD_SHARE;
}

function toMove({shard, from, to}: PlannedMove, search: Search): Move {
  const mean = search.totalWeight / search.totalCapacity;
  const relative = (server: ServerLoad): string =>
    (utilization(server) / mean).toFixed(2);
  return {
    shard: shard.shard,
    from: from.candidate.name,
    to: to.candidate.name,
    reason:
      `load of ${from.candidate.name} is ${relative(from)} times the mean, ` +
      `of ${to.candidate.name} ${relative(to)} times`,
  };
}

function utilization(server: ServerLoad): number {
  return server.weight / server.candidate.capacity;
}

function compareNames(a: ServerLoad, b: ServerLoad): number {
  return a.candidate.name < b.candidate.name ? -1 : 1;
}

function sum<T>(items: readonly T[], value: (item: T) => number): number {
  return items.reduce((total, item) => total + value(item), 0);
}
