import type {KeyRate} from './key-load.js';
import type {LatencyProfile} from './late-answers.js';
import {planByLateAnswers} from './latency-planner.js';
import {
  bestSegment,
  rateByServer,
  ratesByAssignment,
  spansWithout,
} from './segments.js';
import {rateToEqualize, utilization, type ServerSpeed} from './server-speed.js';
import type {RangeAssignment, KeyRange} from './table.js';

/** Properties of a server that determine which keys it is assigned. */
export interface ServerCapacity extends ServerSpeed {
  readonly id: string;
  /** Whether the server accepts further keys. */
  readonly isOpen: boolean;
}

/** A range to move to another server. */
export interface PlannedMove {
  readonly range: KeyRange;
  readonly from: string;
  readonly to: string;
  /** What the move is expected to gain; null if it balances utilization. */
  readonly purpose: MovePurpose | null;
}

/** Why a range moves by latency, and the expected gain. */
export interface MovePurpose {
  /** `hot-key`: a single key that needs more than its server has. */
  readonly kind: 'late-answers' | 'hot-key';
  /** Requests per second that move. */
  readonly rate: number;
  /** Late answers that the move saves, per second. */
  readonly savedPerSecond: number;
}

/**
 * Differences in utilization below this are not balanced: a server gets so few
 * requests per second that its count varies this much by chance. The gap is
 * multiplied by the square root of the logarithm of the number of servers,
 * which is how the extremes of that many counts spread.
 */
const MIN_UTILIZATION_GAP = 0.137;
/** Weight of the fraction of all keys that moves, in a segment's cost. */
const SIZE_COST = 6;

/** What moves are planned from. */
export interface PlanInput {
  readonly assignments: readonly RangeAssignment[];
  readonly servers: readonly ServerCapacity[];
  readonly rates: readonly KeyRate[];
  /** Keys for which servers run a request, in order. */
  readonly runningKeys: readonly number[];
  /** How long requests take and may take; null: utilization is balanced. */
  readonly profile: LatencyProfile | null;
  /** Keys that moved alone a short time ago, which don't move alone again. */
  readonly recentlyMovedKeys: ReadonlySet<number>;
  /** Servers that gave keys away a short time ago, or were given some. */
  readonly recentGivers: ReadonlySet<string>;
  readonly recentTakers: ReadonlySet<string>;
}

/** Moves that may run concurrently. */
export interface Plan {
  readonly moves: readonly PlannedMove[];
  /** Whether one of the moves relieves an overloaded server. */
  readonly isUrgent: boolean;
}

/**
 * Plans moves that reduce late answers if there is a latency profile; see
 * `planByLateAnswers`. Otherwise they balance the servers' utilization: each move
 * takes from the most to the least utilized server a segment of few keys with the
 * rate that equalizes the two. There are up to `maxMoves` moves and at most one per
 * server; none if the utilization is balanced or no segment is suitable.
 *
 * Keys with running requests stay: a server releases keys only when their
 * requests have ended, and until then they have no server. A busy key is without
 * a request sooner than that.
 *
 * @example
 * ```ts
 * const {moves} = planMoves(
 *   {
 *     ...{assignments, servers, rates: load.rates([]), runningKeys: []},
 *     ...{profile: null, recentlyMovedKeys: new Set()},
 *     ...{recentGivers: new Set(), recentTakers: new Set()},
 *   },
 *   4,
 * );
 * moves.forEach(startMove);
 * ```
 */
export function planMoves(input: PlanInput, maxMoves: number): Plan {
  const {profile} = input;
  if (profile !== null) return planByLateAnswers(input, profile, maxMoves);
  return planByUtilization(input, maxMoves);
}

function planByUtilization(
  {assignments, servers, rates, runningKeys}: PlanInput,
  maxMoves: number,
): Plan {
  const loaded = ratesByAssignment(assignments, rates);
  const totals = rateByServer(loaded);
  const utilizationOf = (server: ServerCapacity): number =>
    utilization(server, totals.get(server.id) ?? 0);
  const sorted = servers
    .filter(({isOpen}) => isOpen)
    .sort((a, b) => utilizationOf(b) - utilizationOf(a));
  const minGap = MIN_UTILIZATION_GAP * Math.sqrt(Math.log(sorted.length));
  const moves: PlannedMove[] = [];
  let isUrgent = false;
  let leastAt = sorted.length - 1;
  for (let at = 0; at < leastAt && moves.length < maxMoves; at++) {
    const mostUtilized = sorted[at]!;
    const leastUtilized = sorted[leastAt]!;
    const gap = utilizationOf(mostUtilized) - utilizationOf(leastUtilized);
    if (gap < minGap) break;
    const own = loaded.filter(
      ({assignment}) => assignment.server === mostUtilized.id,
    );
    const targetRate = rateToEqualize(mostUtilized, leastUtilized, gap);
    const idle = own.flatMap(each => spansWithout(runningKeys, each));
    const segment = bestSegment(idle, targetRate, SIZE_COST);
    if (segment === null) continue;
    const {range} = segment;
    moves.push({
      ...{range, from: mostUtilized.id, to: leastUtilized.id},
      purpose: null,
    });
    isUrgent ||= utilizationOf(mostUtilized) > 1;
    leastAt--;
  }
  return {moves, isUrgent};
}
