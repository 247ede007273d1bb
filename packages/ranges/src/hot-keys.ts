import type {LateAnswers} from './late-answers.js';
import type {PlannedMove, ServerCapacity} from './planner.js';
import type {AssignmentLoad} from './segments.js';
import {maxRate} from './server-speed.js';

/** A server with the rate of its keys. */
export interface LoadedServer extends ServerCapacity {
  /** Requests per second. */
  readonly rate: number;
}

/** A key moves for its load only to servers this much faster, as a ratio. */
const MAX_SERVICE_RATIO = 0.7;
/** Part of the capacity that must be free at the target. */
const MIN_FREE_SHARE = 0.4;
/** Answers on time that the move must add, per second. */
const MIN_GAIN_PER_SECOND = 1;

/**
 * Plans moves of single keys that need more than their server has. Such a key
 * goes to the server that answers most of its requests in time: a clearly faster
 * one with room. Its requests may be running, as they never stop.
 *
 * @example
 * ```ts
 * const moves = planHotKeyMoves(loaded, servers, late, recentlyMovedKeys);
 * ```
 */
export function planHotKeyMoves(
  loaded: readonly AssignmentLoad[],
  servers: ReadonlyMap<string, LoadedServer>,
  late: LateAnswers,
  recentlyMovedKeys: ReadonlySet<number>,
): readonly PlannedMove[] {
  const moves: PlannedMove[] = [];
  const used = new Set<string>();
  for (const {assignment, rates} of loaded) {
    const from = servers.get(assignment.server ?? '');
    if (from === undefined || used.has(from.id)) continue;
    const hot = rates.find(({rate}) => rate > maxRate(from));
    if (hot === undefined || recentlyMovedKeys.has(hot.key)) continue;
    const targets = [...servers.values()].filter(
      server => !used.has(server.id) && isClearlyBetter(server, from),
    );
    const move = bestMove(hot, from, targets, late);
    if (move === null) continue;
    moves.push(move);
    used.add(move.from).add(move.to);
  }
  return moves;
}

function isClearlyBetter(server: LoadedServer, from: LoadedServer): boolean {
  const hasRoom = server.rate <= maxRate(server) * (1 - MIN_FREE_SHARE);
  const isFaster = server.serviceMs <= from.serviceMs * MAX_SERVICE_RATIO;
  return server.isOpen && hasRoom && isFaster;
}

function bestMove(
  {key, rate}: {readonly key: number; readonly rate: number},
  from: LoadedServer,
  targets: readonly LoadedServer[],
  late: LateAnswers,
): PlannedMove | null {
  const saved =
    late.perSecond(from, from.rate) - late.perSecond(from, from.rate - rate);
  let best: PlannedMove | null = null;
  let bestGain = MIN_GAIN_PER_SECOND;
  for (const to of targets) {
    const added =
      late.perSecond(to, to.rate + rate) - late.perSecond(to, to.rate);
    const gain = saved - added;
    if (gain <= bestGain) continue;
    bestGain = gain;
    const range = {from: key, to: key};
    best = {
      ...{range, from: from.id, to: to.id},
      purpose: {kind: 'hot-key', rate, savedPerSecond: gain},
    };
  }
  return best;
}
