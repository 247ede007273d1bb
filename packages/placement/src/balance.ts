import type {MayMove} from './calm.js';
import type {Carrier, Carriers} from './carriers.js';
import type {Move, PlacedShard, PlanInput, Weights} from './plan.js';

/** Moves of one plan at most: the next plan sees what they came to. */
const MAX_MOVES = 8;

/** How long a shard stays after a move, so that two plans don't undo it. */
export const MIN_STAY_MS = 30_000;

/**
 * What moving all shards once would cost, in the unit of imbalance. With equal
 * weights a small shard moves where its server's utilisation is above the
 * receiver's by about an eighth of the mean.
 */
const CHURN_COST = 0.12;

/** What stopping the requests of an average shard for a moment costs. */
const UNAVAILABLE_COST = 0.12;

/**
 * Requests that pile up behind a shard while it moves grow with its load, and
 * so does the time that they take to be worked off: the cost of its
 * unavailable time grows faster than its load.
 */
const PILE_UP = 2;

/**
 * How much more it is worth to take a shard off a server that is full. What
 * its requests keep busy can't grow beyond its slots, so that imbalance no
 * longer shows by how much more is asked of it, while it refuses requests.
 */
const FULL_GAIN = 6;

/** A server is full where its requests keep this share of it busy. */
const FULL_SHARE = 0.85;

/** A server has room to spare where no more than this is busy. */
const SPARE_SHARE = 0.65;

/** A shard is hot where it alone takes this share of its server. */
const HOT_SHARE = 0.25;

/** Receivers looked at for each move: the emptiest ones. */
const RECEIVERS = 3;

interface Step {
  readonly shard: PlacedShard;
  readonly from: Carrier;
  readonly to: Carrier;
  /** Imbalance that it takes away less what it costs; above 0. */
  readonly net: number;
}

interface Plan {
  readonly steps: readonly Step[];
  readonly net: number;
}

/** What the greedy search works on; carriers' loads change as it goes. */
interface Search {
  readonly weights: Weights;
  readonly carriers: readonly Carrier[];
  readonly weigh: (shard: PlacedShard) => number;
  readonly move: Carriers['move'];
  readonly mayMove: (from: Carrier, to: Carrier) => boolean;
  readonly totalCapacity: number;
  readonly totalWeight: number;
  readonly totalLoad: number;
  readonly count: number;
}

/**
 * Moves that lessen imbalance by more than they cost in churn and unavailable
 * time. It weighs two plans, one that may move hot shards and one that moves
 * only their neighbours, and takes the better.
 *
 * @example
 * ```ts
 * const moves = balance(input, createCarriers(input));
 * ```
 */
export function balance(
  input: PlanInput,
  carriers: Carriers,
  mayMove: MayMove = () => true,
): readonly Move[] {
  const movable = input.shards.filter(shard =>
    isMovable(shard, input, carriers),
  );
  const search = createSearch(input, carriers, mayMove);
  const any = searchGreedily(search, movable);
  const neighbours = movable.filter(shard => !isHot(shard, carriers));
  const cold =
    neighbours.length < movable.length
      ? searchGreedily(search, neighbours)
      : any;
  const best = cold.net > any.net ? cold : any;
  return best.steps.map(step => toMove(step, search));
}

/**
 * Imbalance of utilisation: its mean squared deviation from the mean, by the
 * mean. 0 where all servers are filled alike.
 *
 * @example
 * ```ts
 * imbalanceOf([...carriers.byName.values()]);
 * ```
 */
export function imbalanceOf(carriers: readonly Carrier[]): number {
  const capacity = sum(carriers, c => c.candidate.capacity);
  const mean = sum(carriers, c => c.load) / capacity;
  if (!(mean > 0)) return 0;
  return sum(carriers, c => {
    const share = c.candidate.capacity / capacity;
    return share * (utilisation(c) / mean - 1) ** 2;
  });
}

function createSearch(
  input: PlanInput,
  carriers: Carriers,
  mayMove: MayMove,
): Search {
  const list = [...carriers.byName.values()].filter(
    ({candidate}) => candidate.readiness > 0 && candidate.capacity > 0,
  );
  const {imbalance, churn, unavailable} = input.weights;
  const all = imbalance + churn + unavailable || 1;
  return {
    weights: {
      imbalance: imbalance / all,
      churn: churn / all,
      unavailable: unavailable / all,
    },
    carriers: list,
    weigh: carriers.weigh,
    move: carriers.move,
    mayMove: (from, to) => mayMove(from, to, carriers),
    totalCapacity: sum(list, c => c.candidate.capacity),
    totalWeight: sum(list, c => c.load),
    totalLoad: sum(input.shards, shard => shard.load),
    count: input.shards.length,
  };
}

function searchGreedily(search: Search, movable: readonly PlacedShard[]): Plan {
  const left = new Set(movable);
  const steps: Step[] = [];
  while (steps.length < MAX_MOVES) {
    const step = bestStep(search, left);
    if (step === null) break;
    search.move(step.shard, step.from, step.to);
    left.delete(step.shard);
    steps.push(step);
  }
  for (const {shard, from, to} of steps) search.move(shard, to, from);
  return {steps, net: sum(steps, ({net}) => net)};
}

function bestStep(
  search: Search,
  shards: ReadonlySet<PlacedShard>,
): Step | null {
  const byName = new Map(search.carriers.map(c => [c.candidate.name, c]));
  const receivers = [...search.carriers]
    .sort((a, b) => utilisation(a) - utilisation(b) || compareNames(a, b))
    .slice(0, RECEIVERS);
  let best: Step | null = null;
  for (const shard of shards) {
    const from = shard.server === null ? undefined : byName.get(shard.server);
    if (from === undefined) continue;
    for (const to of receivers) {
      if (to === from || !hasRoom(search, shard, to)) continue;
      if (!search.mayMove(from, to)) continue;
      const net = netOf(search, shard, from, to);
      if (net > (best?.net ?? 0)) best = {shard, from, to, net};
    }
  }
  return best;
}

/** A server that starts slowly is filled only as far as it is ready. */
function hasRoom(search: Search, shard: PlacedShard, to: Carrier): boolean {
  const {candidate, room, load} = to;
  if (candidate.readiness >= 1) return true;
  const mean = search.totalWeight / search.totalCapacity;
  return load + search.weigh(shard) <= room * mean;
}

function netOf(
  search: Search,
  shard: PlacedShard,
  from: Carrier,
  to: Carrier,
): number {
  const {weights} = search;
  const gain = gainOf(search, search.weigh(shard), from, to);
  const worth = isFull(from) && hasSpare(to) ? FULL_GAIN : 1;
  return weights.imbalance * worth * gain - costOf(search, shard, from);
}

function isFull({busy, candidate}: Carrier): boolean {
  return busy >= candidate.capacity * FULL_SHARE;
}

function hasSpare({busy, candidate}: Carrier): boolean {
  return busy <= candidate.capacity * SPARE_SHARE;
}

/** By how much the move lessens `imbalanceOf`. */
function gainOf(
  search: Search,
  weight: number,
  from: Carrier,
  to: Carrier,
): number {
  const {totalCapacity, totalWeight} = search;
  const mean = totalWeight / totalCapacity;
  if (!(mean > 0)) return 0;
  const part = (carrier: Carrier, load: number): number => {
    const {capacity} = carrier.candidate;
    return (capacity / totalCapacity) * (load / capacity / mean - 1) ** 2;
  };
  const before = part(from, from.load) + part(to, to.load);
  const after = part(from, from.load - weight) + part(to, to.load + weight);
  return before - after;
}

function costOf(search: Search, shard: PlacedShard, from: Carrier): number {
  const {weights, count, totalLoad} = search;
  const churn = CHURN_COST / Math.max(1, count);
  const share = totalLoad > 0 ? shard.load / totalLoad : 0;
  const pileUp = 1 + PILE_UP * (shard.load / from.candidate.capacity);
  const unavailable = UNAVAILABLE_COST * share * pileUp;
  return weights.churn * churn + weights.unavailable * unavailable;
}

function isMovable(
  shard: PlacedShard,
  input: PlanInput,
  carriers: Carriers,
): boolean {
  if (shard.pinned || shard.server === null) return false;
  if (!carriers.byName.has(shard.server)) return false;
  return input.now - shard.movedAt >= MIN_STAY_MS;
}

function isHot(shard: PlacedShard, carriers: Carriers): boolean {
  const carrier = carriers.byName.get(shard.server ?? '');
  if (carrier === undefined) return false;
  return shard.load >= carrier.candidate.capacity * HOT_SHARE;
}

function toMove({shard, from, to}: Step, search: Search): Move {
  const mean = search.totalWeight / search.totalCapacity;
  const relative = (carrier: Carrier): string =>
    (utilisation(carrier) / mean).toFixed(2);
  return {
    shard: shard.shard,
    from: from.candidate.name,
    to: to.candidate.name,
    reason:
      `load of ${from.candidate.name} is ${relative(from)} times the mean, ` +
      `of ${to.candidate.name} ${relative(to)} times`,
  };
}

function utilisation(carrier: Carrier): number {
  return carrier.load / carrier.candidate.capacity;
}

function compareNames(a: Carrier, b: Carrier): number {
  return a.candidate.name < b.candidate.name ? -1 : 1;
}

function sum<T>(items: readonly T[], value: (item: T) => number): number {
  return items.reduce((total, item) => total + value(item), 0);
}
