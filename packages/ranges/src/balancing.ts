import {
  leasesOf,
  runningKeysOf,
  saveAssignments,
  type LeaderState,
  type ListedServer,
} from './leader-state.js';
import type {KeyRate} from './key-load.js';
import {
  createMergedLease,
  isConfirmed,
  isSettled,
  type RangeLease,
} from './range-lease.js';
import {moveRange} from './move-range.js';
import {planMoves, type PlannedMove} from './planner.js';
import {MAX_KEY, rangeSize, type KeyRange} from './table.js';
import {mayMoveAtOnce, replaceLeases, splitLease} from './split-lease.js';

const ALL_KEYS: KeyRange = {from: 0, to: MAX_KEY};
/**
 * Ranges of a server with at least this many are not split, because each range
 * costs renewals.
 */
const MAX_RANGES_PER_SERVER = 8;
/**
 * After a hot key has moved alone, it stays for this long, in ms. Its queue at
 * the previous server and the load of the new one are known by then.
 */
const HOT_KEY_REST_MS = 13_000;
/**
 * For this long a server that gave keys away gets none by latency, and one that
 * got some keeps them, in ms, unless a server is overloaded. It is half of the
 * period in which demand is known to swing; without it, keys move back and forth.
 */
const SERVER_REST_MS = 6_500;

/**
 * Starts up to `maxMoves` moves that balance load. Returns whether one of them
 * relieves an overloaded server.
 */
export function startBalancingMoves(
  leader: LeaderState,
  servers: readonly ListedServer[],
  rates: readonly KeyRate[],
  maxMoves: number,
): boolean {
  const now = leader.clock.now();
  // A server takes part in one move at a time.
  const movingServers = new Set(
    leader.leases
      .filter(({phase}) => phase !== 'held')
      .map(({assignment}) => assignment.server),
  );
  const available = servers.filter(
    ({id}) => !movingServers.has(id) && !leader.moveTargets.has(id),
  );
  const settled = leader.leases.filter(lease => isSettled(lease, now));
  const assignments = settled.map(({assignment}) => assignment);
  const runningKeys = runningKeysOf(leader, ALL_KEYS);
  const plan = planMoves(
    {
      ...{assignments, servers: available, rates, runningKeys},
      profile: leader.profile(),
      recentlyMovedKeys: takeRecent(leader.hotKeyMoves, now - HOT_KEY_REST_MS),
      recentGivers: takeRecent(leader.lastGiven, now - SERVER_REST_MS),
      recentTakers: takeRecent(leader.lastTaken, now - SERVER_REST_MS),
    },
    maxMoves,
  );
  for (const move of plan.moves) {
    const {range, to} = move;
    const lease = settled.find(
      ({assignment}) =>
        assignment.from <= range.from && range.to <= assignment.to,
    )!;
    leader.moveTargets.add(to);
    leader.activeMoves++;
    recordLatencyMove(leader, move);
    void moveSegment(leader, lease, move).finally(() => {
      leader.moveTargets.delete(to);
      leader.activeMoves--;
    });
  }
  return plan.isUrgent;
}

/**
 * Merges adjacent ranges of the same server, since each range costs renewals:
 * all such pairs at once, with one write of the table.
 */
export function mergeNeighbours(leader: LeaderState, now: number): void {
  const merged: RangeLease[] = [];
  for (let at = 0; at + 1 < leader.leases.length; at++) {
    const left = leader.leases[at]!;
    const right = leader.leases[at + 1]!;
    if (left.assignment.server !== right.assignment.server) continue;
    if (!isSettled(left, now) || !isSettled(right, now)) continue;
    if (!isConfirmed(left) || !isConfirmed(right)) continue;
    const both = createMergedLease(left, right, leader.nextFence(), now);
    replaceLeases(leader, [left, right], [both]);
    merged.push(both);
  }
  if (merged.length > 0) void saveAssignments(leader, merged);
}

/** Returns what was marked at `since` or later; removes older marks. */
function takeRecent<T>(times: Map<T, number>, since: number): ReadonlySet<T> {
  for (const [each, at] of times) {
    if (at < since) times.delete(each);
  }
  return new Set(times.keys());
}

/** Starts the rest of both servers, and logs why a range moves by latency. */
function recordLatencyMove(
  leader: LeaderState,
  {range, from, to, purpose}: PlannedMove,
): void {
  if (purpose === null) return;
  const now = leader.clock.now();
  leader.lastGiven.set(from, now);
  leader.lastTaken.set(to, now);
  leader.emit('range-placed', {
    ...{from: range.from, to: range.to, server: from, target: to},
    why: purpose.kind,
    perSecond: roundToHundredth(purpose.rate),
    savedPerSecond: roundToHundredth(purpose.savedPerSecond),
  });
}

function roundToHundredth(value: number): number {
  return Math.round(value * 100) / 100;
}

async function moveSegment(
  leader: LeaderState,
  lease: RangeLease,
  move: PlannedMove,
): Promise<void> {
  if (move.purpose?.kind === 'hot-key') return moveHotKey(leader, lease, move);
  const {range, to} = move;
  const {assignment} = lease;
  if (range.from === assignment.from && range.to === assignment.to)
    return moveRange(leader, lease, 'load', to);
  const count = leasesOf(leader, assignment.server!).length;
  if (count >= MAX_RANGES_PER_SERVER) return;
  const parts = await splitLease(leader, lease, [range]);
  const part = parts.find(each => each.assignment.from === range.from);
  // A request may have started during the split; the next plan moves others.
  if (part === undefined || !mayMoveAtOnce(leader, part)) return;
  await moveRange(leader, part, 'load', to);
}

/** Moves a single key although its requests run. */
async function moveHotKey(
  leader: LeaderState,
  lease: RangeLease,
  {range, to}: PlannedMove,
): Promise<void> {
  const isAlone = rangeSize(lease.assignment) === 1;
  const parts = isAlone ? [lease] : await splitLease(leader, lease, [range]);
  const part = parts.find(each => each.assignment.from === range.from);
  // An unanswered grant could delay the move beyond the end of the requests.
  if (part === undefined || !isSettled(part, leader.clock.now())) return;
  leader.hotKeyMoves.set(range.from, leader.clock.now());
  await moveRange(leader, part, 'load', to);
}
