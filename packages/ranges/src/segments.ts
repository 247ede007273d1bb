import type {KeyRate} from './key-load.js';
import {
  KEY_COUNT,
  rangeSize,
  type KeyRange,
  type RangeAssignment,
} from './table.js';

/** Minimum requests per second that justify the pause caused by a move. */
const MIN_MOVED_RATE = 0.15;
/** Bounds of a segment's rate, relative to the target rate. */
const MIN_TARGET_RATIO = 0.4;
const MAX_TARGET_RATIO = 1.15;
/**
 * Weight of each additional range, which costs renewals, in a segment's cost,
 * relative to the deviation from the target rate.
 */
const SPLIT_COST = 0.12;
/** Up to this many keys without load move along if that avoids a split. */
const MAX_IDLE_KEYS = 256;

/** An assignment with the rates of its keys. */
export interface AssignmentLoad {
  readonly assignment: RangeAssignment;
  readonly rates: readonly KeyRate[];
}

/** Adjacent keys of one assignment, with their rates. */
export interface KeySpan extends AssignmentLoad, KeyRange {}

/** Adjacent keys to move, with their request rate per second. */
export interface Segment {
  readonly range: KeyRange;
  readonly rate: number;
  /** Additional ranges that the move creates. */
  readonly splits: number;
}

/** Splits sorted rates by the assignments that their keys belong to. */
export function ratesByAssignment(
  assignments: readonly RangeAssignment[],
  rates: readonly KeyRate[],
): readonly AssignmentLoad[] {
  const sorted = [...assignments].sort((a, b) => a.from - b.from);
  let at = 0;
  return sorted.map(assignment => {
    while (at < rates.length && rates[at]!.key < assignment.from) at++;
    const first = at;
    while (at < rates.length && rates[at]!.key <= assignment.to) at++;
    return {assignment, rates: rates.slice(first, at)};
  });
}

/** The keys of the assignment between those that are excluded. */
export function spansWithout(
  excluded: readonly number[],
  load: AssignmentLoad,
): readonly KeySpan[] {
  const {from, to} = load.assignment;
  const {rates} = load;
  const firstCut = firstAtLeast(excluded, from, key => key);
  const lastCut = firstAtLeast(excluded, to + 1, key => key);
  const cuts = excluded.slice(firstCut, lastCut);
  const starts = [from, ...cuts.map(key => key + 1)];
  const ends = [...cuts.map(key => key - 1), to];
  return starts.map((start, at) => {
    const end = ends[at]!;
    const first = firstAtLeast(rates, start, ({key}) => key);
    const afterLast = firstAtLeast(rates, end + 1, ({key}) => key);
    return {
      ...{...load, from: start, to: end},
      rates: rates.slice(first, Math.max(first, afterLast)),
    };
  });
}

/** Index of the first element with at least this key; they are in order. */
function firstAtLeast<T>(
  sorted: readonly T[],
  key: number,
  keyOf: (element: T) => number,
): number {
  let low = 0;
  let high = sorted.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (keyOf(sorted[middle]!) < key) low = middle + 1;
    else high = middle;
  }
  return low;
}

export function rateByServer(
  loaded: readonly AssignmentLoad[],
): ReadonlyMap<string, number> {
  const totals = new Map<string, number>();
  for (const {assignment, rates} of loaded) {
    const {server} = assignment;
    if (server === null) continue;
    const sum = rates.reduce((total, {rate}) => total + rate, 0);
    totals.set(server, (totals.get(server) ?? 0) + sum);
  }
  return totals;
}

/**
 * The segment with the lowest cost for the target rate; null if none suits.
 * `sizeCost` is the weight of the fraction of all keys that it contains,
 * relative to the deviation from the target rate.
 */
export function bestSegment(
  spans: readonly KeySpan[],
  targetRate: number,
  sizeCost: number,
): Segment | null {
  let best: Segment | null = null;
  let bestCost = Infinity;
  for (const {assignment, from: firstKey, to: lastKey, rates} of spans) {
    let end = 0;
    let sum = 0;
    for (let first = 0; first < rates.length; first++) {
      while (end < rates.length) {
        const extended = sum + rates[end]!.rate;
        if (extended > targetRate * MAX_TARGET_RATIO) break;
        sum = extended;
        end++;
      }
      if (end > first && isWorthwhile(sum, targetRate)) {
        const from = rates[first]!.key;
        const last = rates[end - 1]!.key;
        const range = {
          from: first === 0 ? extendToEdge(from, firstKey) : from,
          to: end === rates.length ? extendToEdge(last, lastKey) : last,
        };
        const cost = segmentCost(assignment, range, sum, targetRate, sizeCost);
        if (cost < bestCost) {
          best = {range, rate: sum, splits: countSplits(assignment, range)};
          bestCost = cost;
        }
      }
      if (end > first) sum -= rates[first]!.rate;
      else end = first + 1;
    }
  }
  return best;
}

function isWorthwhile(rate: number, targetRate: number): boolean {
  return rate >= Math.max(MIN_MOVED_RATE, targetRate * MIN_TARGET_RATIO);
}

/** Extends a segment to the edge of its span if few keys lie between them. */
function extendToEdge(key: number, edge: number): number {
  return Math.abs(edge - key) <= MAX_IDLE_KEYS ? edge : key;
}

function segmentCost(
  assignment: KeyRange,
  range: KeyRange,
  rate: number,
  targetRate: number,
  sizeCost: number,
): number {
  const splits = countSplits(assignment, range);
  const deviation = Math.abs(targetRate - rate) / targetRate;
  const size = rangeSize(range) / KEY_COUNT;
  return deviation + size * sizeCost + splits * SPLIT_COST;
}

function countSplits(assignment: KeyRange, range: KeyRange): number {
  return (
    Number(range.from > assignment.from) + Number(range.to < assignment.to)
  );
}
