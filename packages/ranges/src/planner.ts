import type {KeyRate} from './key-load.js';
import {KEY_COUNT, rangeSize, type RangeAssignment, type KeyRange} from './table.js';

/** A server that may hold keys, as placement sees it. */
export interface ServerCapacity {
  readonly id: string;
  readonly slots: number;
  /** Time for one request without waiting, in ms. */
  readonly serviceMs: number;
  /** Whether it takes further keys. */
  readonly isOpen: boolean;
}

/** Keys that should go to another server. */
export interface PlannedMove {
  readonly range: KeyRange;
  readonly from: string;
  readonly to: string;
}

/**
 * Servers' busy shares that differ by less are left alone: with the few requests
 * a second of a server, counts stray that far by chance. Of many servers the
 * extremes stray further, as the root of the logarithm of their number.
 */
const MIN_UTILIZATION_GAP = 0.137;
/** A move is worth its pause only for this many requests a second. */
const MIN_MOVED_RATE = 0.15;
/** A segment may have this share of the wanted rate, from and to. */
const MIN_TARGET_RATIO = 0.4;
const MAX_TARGET_RATIO = 1.15;
/**
 * What moved keys cost, for the size of all keys, and what each further
 * holding costs in renewals, against a rate that misses the wanted one.
 */
const SIZE_COST = 6;
const SPLIT_COST = 0.12;
/** Keys without load that go along, so that fewer holdings are left. */
const MAX_IDLE_KEYS = 256;

/** The share of its slots that a server's keys keep busy. */
export function utilization(server: ServerCapacity, rate: number): number {
  return (rate * server.serviceMs) / 1000 / server.slots;
}

/** A holding with its own keys' load. */
interface AssignmentLoad {
  readonly assignment: RangeAssignment;
  readonly rates: readonly KeyRate[];
}

/** What a plan begins with. */
export interface PlanInput {
  readonly assignments: readonly RangeAssignment[];
  readonly servers: readonly ServerCapacity[];
  readonly rates: readonly KeyRate[];
}

/** Moves that may be made side by side. */
export interface Plan {
  readonly moves: readonly PlannedMove[];
  /** Whether some server among them is given more than it can do. */
  readonly isUrgent: boolean;
}

/**
 * The moves that even out how busy the servers are: from the busiest to the
 * idlest, each of about half their difference and of few keys, `most` of them
 * and one for each server; none where they are even, or nothing that can go
 * would help.
 *
 * @example
 * ```ts
 * const {moves} = planMoves({holdings, servers, rates: load.rates([])}, 4);
 * moves.forEach(startMove);
 * ```
 */
export function planMoves(
  {assignments: holdings, servers, rates}: PlanInput,
  most: number,
): Plan {
  const loaded = ratesByAssignment(holdings, rates);
  const totals = rateByServer(loaded);
  const shareOf = (server: ServerCapacity): number =>
    utilization(server, totals.get(server.id) ?? 0);
  const sorted = servers
    .filter(({isOpen}) => isOpen)
    .sort((a, b) => shareOf(b) - shareOf(a));
  const minGap = MIN_UTILIZATION_GAP * Math.sqrt(Math.log(sorted.length));
  const moves: PlannedMove[] = [];
  let isUrgent = false;
  let idlestAt = sorted.length - 1;
  for (let at = 0; at < idlestAt && moves.length < most; at++) {
    const busiest = sorted[at]!;
    const idlest = sorted[idlestAt]!;
    const gap = shareOf(busiest) - shareOf(idlest);
    if (gap < minGap) break;
    const own = loaded.filter(({assignment: holding}) => holding.server === busiest.id);
    const range = bestSegment(own, rateToEqualize(busiest, idlest, gap));
    if (range === null) continue;
    moves.push({range, from: busiest.id, to: idlest.id});
    isUrgent ||= shareOf(busiest) > 1;
    idlestAt--;
  }
  return {moves, isUrgent};
}

function ratesByAssignment(
  holdings: readonly RangeAssignment[],
  rates: readonly KeyRate[],
): readonly AssignmentLoad[] {
  const sorted = [...holdings].sort((a, b) => a.from - b.from);
  let at = 0;
  return sorted.map(assignment => {
    while (at < rates.length && rates[at]!.key < assignment.from) at++;
    const first = at;
    while (at < rates.length && rates[at]!.key <= assignment.to) at++;
    return {assignment: assignment, rates: rates.slice(first, at)};
  });
}

function rateByServer(loaded: readonly AssignmentLoad[]): ReadonlyMap<string, number> {
  const totals = new Map<string, number>();
  for (const {assignment: holding, rates} of loaded) {
    const {server} = holding;
    if (server === null) continue;
    const sum = rates.reduce((total, {rate}) => total + rate, 0);
    totals.set(server, (totals.get(server) ?? 0) + sum);
  }
  return totals;
}

function rateToEqualize(
  busiest: ServerCapacity,
  idlest: ServerCapacity,
  gap: number,
): number {
  const perRate =
    busiest.serviceMs / 1000 / busiest.slots +
    idlest.serviceMs / 1000 / idlest.slots;
  return gap / perRate;
}

/** The segment that fits the wanted rate best for the keys that it moves. */
function bestSegment(
  loaded: readonly AssignmentLoad[],
  wanted: number,
): KeyRange | null {
  let best: KeyRange | null = null;
  let bestCost = Infinity;
  for (const {assignment: holding, rates} of loaded) {
    let end = 0;
    let sum = 0;
    for (let first = 0; first < rates.length; first++) {
      while (end < rates.length) {
        const more = sum + rates[end]!.rate;
        if (more > wanted * MAX_TARGET_RATIO) break;
        sum = more;
        end++;
      }
      if (end > first && isWorthwhile(sum, wanted)) {
        const from = rates[first]!.key;
        const last = rates[end - 1]!.key;
        const range = {
          from: first === 0 ? extendToEdge(from, holding.from) : from,
          to: end === rates.length ? extendToEdge(last, holding.to) : last,
        };
        const cost = segmentCost(holding, range, sum, wanted);
        if (cost < bestCost) {
          best = range;
          bestCost = cost;
        }
      }
      if (end > first) sum -= rates[first]!.rate;
      else end = first + 1;
    }
  }
  return best;
}

function isWorthwhile(rate: number, wanted: number): boolean {
  return rate >= Math.max(MIN_MOVED_RATE, wanted * MIN_TARGET_RATIO);
}

/** The holding's edge, where only few keys without load lie between. */
function extendToEdge(key: number, edge: number): number {
  return Math.abs(edge - key) <= MAX_IDLE_KEYS ? edge : key;
}

function segmentCost(
  holding: KeyRange,
  range: KeyRange,
  rate: number,
  wanted: number,
): number {
  const pieces =
    Number(range.from > holding.from) + Number(range.to < holding.to);
  const miss = Math.abs(wanted - rate) / wanted;
  const size = rangeSize(range) / KEY_COUNT;
  return miss + size * SIZE_COST + pieces * SPLIT_COST;
}
