import {grantLease} from './grant-lease.js';
import {
  leasesOf,
  saveAssignments,
  type LeaderState,
  type ListedServer,
} from './leader-state.js';
import type {KeyRate} from './key-load.js';
import {
  createMergedLease,
  createPartialLease,
  isSettled,
  type RangeLease,
} from './range-lease.js';
import {moveRange} from './move-range.js';
import {planMoves} from './planner.js';
import type {KeyRange} from './table.js';

/**
 * Ranges of a server with at least this many are not split, because each range
 * costs renewals.
 */
const MAX_RANGES_PER_SERVER = 8;

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
  const plan = planMoves({assignments, servers: available, rates}, maxMoves);
  for (const {range, to} of plan.moves) {
    const lease = settled.find(
      ({assignment}) =>
        assignment.from <= range.from && range.to <= assignment.to,
    )!;
    leader.moveTargets.add(to);
    leader.activeMoves++;
    void moveSegment(leader, lease, range, to).finally(() => {
      leader.moveTargets.delete(to);
      leader.activeMoves--;
    });
  }
  return plan.isUrgent;
}

/**
 * Merges one pair of adjacent ranges of the same server, since each range costs
 * renewals. Returns whether there was one.
 */
export function mergeNeighbours(leader: LeaderState, now: number): boolean {
  const isIdle = (lease: RangeLease): boolean =>
    isSettled(lease, now) && lease.pendingCall === null;
  for (let at = 0; at + 1 < leader.leases.length; at++) {
    const left = leader.leases[at]!;
    const right = leader.leases[at + 1]!;
    if (left.assignment.server !== right.assignment.server) continue;
    if (!isIdle(left) || !isIdle(right)) continue;
    const merged = createMergedLease(left, right, leader.nextFence(), now);
    replaceLeases(leader, [left, right], [merged]);
    void saveAssignments(leader, [merged]);
    return true;
  }
  return false;
}

async function moveSegment(
  leader: LeaderState,
  lease: RangeLease,
  range: KeyRange,
  to: string,
): Promise<void> {
  const {assignment} = lease;
  if (range.from === assignment.from && range.to === assignment.to) {
    return moveRange(leader, lease, 'load', to);
  }
  if (leasesOf(leader, assignment.server!).length >= MAX_RANGES_PER_SERVER)
    return;
  const part = await splitLease(leader, lease, range);
  if (part !== null) await moveRange(leader, part, 'load', to);
}

/** Splits a range so that one part can move; resolves with that part. */
async function splitLease(
  leader: LeaderState,
  lease: RangeLease,
  range: KeyRange,
): Promise<RangeLease | null> {
  lease.phase = 'waiting';
  await lease.pendingCall;
  const {from, to} = lease.assignment;
  const ranges = [
    {from, to: range.from - 1},
    range,
    {from: range.to + 1, to},
  ].filter(each => each.from <= each.to);
  const now = leader.clock.now();
  const parts = ranges.map(each =>
    createPartialLease(lease, each, leader.nextFence(), now),
  );
  replaceLeases(leader, [lease], parts);
  if (!(await saveAssignments(leader, parts))) return null;
  const part = parts.find(({assignment}) => assignment.from === range.from)!;
  // The server must have seen the part's own fence before its release.
  await Promise.all(parts.map(each => grantLease(leader, each)));
  return part.phase === 'held' ? part : null;
}

function replaceLeases(
  leader: LeaderState,
  previous: readonly RangeLease[],
  replacements: readonly RangeLease[],
): void {
  const at = leader.leases.indexOf(previous[0]!);
  leader.leases.splice(at, previous.length, ...replacements);
  leader.onChange();
}
