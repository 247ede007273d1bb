import {planHotKeyMoves, type LoadedServer} from './hot-keys.js';
import {
  lateAnswersOf,
  type LateAnswers,
  type LatencyProfile,
} from './late-answers.js';
import type {Plan, PlanInput, PlannedMove} from './planner.js';
import {
  bestSegment,
  rateByServer,
  ratesByAssignment,
  spansWithout,
  type AssignmentLoad,
  type KeySpan,
  type Segment,
} from './segments.js';
import {maxRate, rateToEqualize, utilization} from './server-speed.js';
import {KEY_COUNT, rangeSize} from './table.js';

/** Change of a server's rate by which servers are ranked, per second. */
const RATE_STEP = 1;
/** Weight of the utilization beside late answers, to decide between equals. */
const TIE_WEIGHT = 1e-3;
/**
 * For how long a move is expected to save late answers, in seconds. The rates
 * are means over about this time.
 */
const GAIN_SECONDS = 12;
/** Callers of keys that move wait for about this long, in seconds. */
const PAUSE_SECONDS = 0.04;
/**
 * Price of moving all keys, in seconds of all requests that the servers can
 * process: each key that changes its owner loses what the owner had in memory.
 */
const ALL_KEYS_SECONDS = 0.25;
/** Price of each additional range, in late answers: ranges cost renewals. */
const SPLIT_PRICE = 0.5;
/**
 * Weight of the fraction of all keys in a segment's cost. Popular keys move
 * before many others with the same rate.
 */
const SIZE_COST = 100;
/** Late answers that a move must save per second, beside its price. */
const MIN_SAVED_PER_SECOND = 0.05;
/**
 * Rates are counts of a limited time and vary by chance. A move must be
 * justified if its servers' rates differ by this part of the standard deviation
 * from the measured ones, to its disadvantage.
 */
const RATE_DEVIATIONS = 0.5;
/**
 * Effective time over which requests are counted, in seconds: twice the time
 * constant of the decay in `key-load.ts`, from which the variance follows.
 */
const COUNTED_SECONDS = 24;
/**
 * From this utilization on, a server gives keys also to servers that gave some
 * away a short time ago. At lower ones, those would soon give them back.
 */
const FAR_OVERLOAD = 1.5;
/** Steps that each take a third off the interval of rates that is searched. */
const SEARCH_STEPS = 12;
/** Rates to look for a segment with, relative to the best one. */
const TARGET_RATIOS = [1, 0.5, 0.25, 0.12] as const;

/** The servers that take part in a plan, and what is needed to compare them. */
interface Comparison {
  readonly late: LateAnswers;
  /** Requests per second that all servers can process. */
  readonly totalCapacity: number;
}

/**
 * Plans moves that reduce late answers: from the server where one request less
 * saves the most of them to the one where one more costs the least, until the
 * gain doesn't justify a move. Keys with running requests stay, unless a single
 * key needs more than its server has.
 *
 * @example
 * ```ts
 * const {moves} = planByLateAnswers(input, profile, 4);
 * ```
 */
export function planByLateAnswers(
  input: PlanInput,
  profile: LatencyProfile,
  maxMoves: number,
): Plan {
  const {assignments, servers, rates, runningKeys, recentlyMovedKeys} = input;
  const late = lateAnswersOf(profile);
  const loaded = ratesByAssignment(assignments, rates);
  const totals = rateByServer(loaded);
  const ownLoads = groupByServer(loaded);
  const open = servers
    .filter(({isOpen}) => isOpen)
    .map(server => ({...server, rate: totals.get(server.id) ?? 0}));
  const byId = new Map(open.map(server => [server.id, server]));
  const hot = planHotKeyMoves(loaded, byId, late, recentlyMovedKeys);
  const moves = hot.slice(0, maxMoves);
  const used = new Set(moves.flatMap(({from, to}) => [from, to]));
  const others = open.filter(({id}) => !used.has(id));
  const totalCapacity = open.reduce((sum, each) => sum + maxRate(each), 0);
  const givers = others.filter(
    each => isOverloaded(each) || !input.recentTakers.has(each.id),
  );
  const bySaving = sortBy(givers, each => -savingOf(each, late));
  const byCost = sortBy(others, each => costOf(each, late));
  for (const from of bySaving) {
    if (moves.length >= maxMoves) break;
    if (used.has(from.id)) continue;
    const to = byCost.find(
      ({id}) =>
        id !== from.id &&
        !used.has(id) &&
        (isFarOverloaded(from) || !input.recentGivers.has(id)),
    );
    if (to === undefined) continue;
    if (savingOf(from, late) <= costOf(to, late)) break;
    const own = ownLoads.get(from.id) ?? [];
    const spans = own.flatMap(each => spansWithout(runningKeys, each));
    const move = bestMove(from, to, spans, {late, totalCapacity});
    if (move === null) continue;
    moves.push(move);
    used.add(from.id).add(to.id);
  }
  const isUrgent = moves.some(({from}) => isOverloaded(byId.get(from)!));
  return {moves, isUrgent};
}

/** Whether the overload is too large to be a random variation of the rate. */
function isFarOverloaded(server: LoadedServer): boolean {
  return utilization(server, server.rate) > FAR_OVERLOAD;
}

function isOverloaded(server: LoadedServer): boolean {
  return utilization(server, server.rate) > 1;
}

/** Late answers that one request less saves; overload decides between equals. */
function savingOf(server: LoadedServer, late: LateAnswers): number {
  const {rate} = server;
  const lower = Math.max(0, rate - RATE_STEP);
  const saved = late.perSecond(server, rate) - late.perSecond(server, lower);
  return saved + utilization(server, rate) * TIE_WEIGHT;
}

/** Late answers that one request more costs. */
function costOf(server: LoadedServer, late: LateAnswers): number {
  const {rate} = server;
  const higher = rate + RATE_STEP;
  const added = late.perSecond(server, higher) - late.perSecond(server, rate);
  return added + utilization(server, rate) * TIE_WEIGHT;
}

function sortBy(
  servers: readonly LoadedServer[],
  score: (server: LoadedServer) => number,
): readonly LoadedServer[] {
  return servers
    .map(server => ({server, score: score(server)}))
    .sort((a, b) => a.score - b.score)
    .map(({server}) => server);
}

function groupByServer(
  loaded: readonly AssignmentLoad[],
): ReadonlyMap<string | null, readonly AssignmentLoad[]> {
  const groups = new Map<string | null, AssignmentLoad[]>();
  for (const each of loaded) {
    const {server} = each.assignment;
    const group = groups.get(server);
    if (group === undefined) groups.set(server, [each]);
    else group.push(each);
  }
  return groups;
}

/** The segment whose move saves the most, if that justifies it; else null. */
function bestMove(
  from: LoadedServer,
  to: LoadedServer,
  spans: readonly KeySpan[],
  comparison: Comparison,
): PlannedMove | null {
  const {late} = comparison;
  const movable = sumOfRates(spans);
  const targetRates = ratesToMove(from, to, movable, late);
  const lowFrom = withDeviation(from, -RATE_DEVIATIONS);
  const highTo = withDeviation(to, RATE_DEVIATIONS);
  let best: PlannedMove | null = null;
  let bestValue = 0;
  for (const targetRate of targetRates) {
    const segment = bestSegment(spans, targetRate, SIZE_COST);
    if (segment === null) continue;
    const {range, rate} = segment;
    const saved = savedByMove(lowFrom, highTo, rate, late);
    const value = valueOf(segment, saved, comparison);
    if (saved < MIN_SAVED_PER_SECOND || value <= bestValue) continue;
    bestValue = value;
    best = {
      ...{range, from: from.id, to: to.id},
      purpose: {kind: 'late-answers', rate, savedPerSecond: saved},
    };
  }
  return best;
}

function sumOfRates(spans: readonly KeySpan[]): number {
  let sum = 0;
  for (const {rates} of spans) for (const {rate} of rates) sum += rate;
  return sum;
}

/**
 * Rates to look for a segment with. While what could move is more than both
 * servers can process, half of it moves, so that many servers share it after few
 * plans.
 */
function ratesToMove(
  from: LoadedServer,
  to: LoadedServer,
  movable: number,
  late: LateAnswers,
): readonly number[] {
  const bestRate = rateToMove(from, to, movable, late);
  if (utilization(from, movable - bestRate) <= 1)
    return TARGET_RATIOS.map(ratio => bestRate * ratio);
  const gap = utilization(from, from.rate) - utilization(to, to.rate);
  return [Math.max(bestRate, rateToEqualize(from, to, gap))];
}

/** The rate up to `movable` whose move saves the most late answers. */
function rateToMove(
  from: LoadedServer,
  to: LoadedServer,
  movable: number,
  late: LateAnswers,
): number {
  let low = 0;
  let high = movable;
  for (let step = 0; step < SEARCH_STEPS; step++) {
    const third = (high - low) / 3;
    const isLessBetter =
      savedByMove(from, to, low + third, late) >=
      savedByMove(from, to, high - third, late);
    if (isLessBetter) high -= third;
    else low += third;
  }
  return high;
}

/** Late answers per second that the move of a rate saves. */
function savedByMove(
  from: LoadedServer,
  to: LoadedServer,
  rate: number,
  late: LateAnswers,
): number {
  const before = late.perSecond(from, from.rate) + late.perSecond(to, to.rate);
  const after =
    late.perSecond(from, from.rate - rate) + late.perSecond(to, to.rate + rate);
  return before - after;
}

/** Late answers that a move saves while it lasts, less its price. */
function valueOf(
  {range, rate, splits}: Segment,
  savedPerSecond: number,
  {totalCapacity}: Comparison,
): number {
  const pausePrice = rate * PAUSE_SECONDS;
  const keyShare = rangeSize(range) / KEY_COUNT;
  const keyPrice = keyShare * totalCapacity * ALL_KEYS_SECONDS;
  return (
    savedPerSecond * GAIN_SECONDS - pausePrice - keyPrice - splits * SPLIT_PRICE
  );
}

/** The server with a rate that differs by some standard deviations. */
function withDeviation(server: LoadedServer, deviations: number): LoadedServer {
  const deviation = Math.sqrt(server.rate / COUNTED_SECONDS);
  const rate = Math.max(0, server.rate + deviations * deviation);
  return {...server, rate};
}
