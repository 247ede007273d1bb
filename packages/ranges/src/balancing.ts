import {grantLease} from './granting.js';
import {leasesOf, saveAssignments, type LeaderState, type ListedServer} from './lead-state.js';
import type {KeyRate} from './key-load.js';
import {
  createMergedLease,
  createPartialLease,
  isSettled,
  type RangeLease,
} from './live-holding.js';
import {moveRange} from './moving.js';
import {planMoves} from './planner.js';
import type {KeyRange} from './table.js';

/** A server's holdings are cut no further than this: each costs renewals. */
const MAX_RANGES_PER_SERVER = 8;

/**
 * Starts up to `most` moves for the sake of load; whether some server is given
 * more than it can do.
 */
export function startBalancingMoves(
  lead: LeaderState,
  servers: readonly ListedServer[],
  rates: readonly KeyRate[],
  most: number,
): boolean {
  const now = lead.clock.now();
  // A server that gives or takes keys already is left alone until it did.
  const busy = new Set(
    lead.leases
      .filter(({phase}) => phase !== 'held')
      .map(({assignment: holding}) => holding.server),
  );
  const free = servers.filter(({id}) => !busy.has(id) && !lead.moveTargets.has(id));
  const settled = lead.leases.filter(live => isSettled(live, now));
  const holdings = settled.map(({assignment: holding}) => holding);
  const plan = planMoves({assignments: holdings, servers: free, rates}, most);
  for (const {range, to} of plan.moves) {
    const live = settled.find(
      ({assignment: holding}) => holding.from <= range.from && range.to <= holding.to,
    )!;
    lead.moveTargets.add(to);
    lead.activeMoves++;
    void moveSegment(lead, live, range, to).finally(() => {
      lead.moveTargets.delete(to);
      lead.activeMoves--;
    });
  }
  return plan.isUrgent;
}

/** Joins two neighbours of one server; each holding costs renewals. */
export function mergeNeighbours(lead: LeaderState, now: number): boolean {
  const isStill = (live: RangeLease): boolean =>
    isSettled(live, now) && live.pendingCall === null;
  for (let at = 0; at + 1 < lead.leases.length; at++) {
    const left = lead.leases[at]!;
    const right = lead.leases[at + 1]!;
    if (left.assignment.server !== right.assignment.server) continue;
    if (!isStill(left) || !isStill(right)) continue;
    const merged = createMergedLease(left, right, lead.nextFence(), now);
    replaceLeases(lead, [left, right], [merged]);
    void saveAssignments(lead, [merged]);
    return true;
  }
  return false;
}

async function moveSegment(
  lead: LeaderState,
  live: RangeLease,
  range: KeyRange,
  to: string,
): Promise<void> {
  const {assignment: holding} = live;
  if (range.from === holding.from && range.to === holding.to) {
    return moveRange(lead, live, 'load', to);
  }
  if (leasesOf(lead, holding.server!).length >= MAX_RANGES_PER_SERVER) return;
  const part = await splitLease(lead, live, range);
  if (part !== null) await moveRange(lead, part, 'load', to);
}

/** Cuts a holding, so that one part can go; yields that part. */
async function splitLease(
  lead: LeaderState,
  live: RangeLease,
  range: KeyRange,
): Promise<RangeLease | null> {
  live.phase = 'waiting';
  await live.pendingCall;
  const {from, to} = live.assignment;
  const ranges = [
    {from, to: range.from - 1},
    range,
    {from: range.to + 1, to},
  ].filter(each => each.from <= each.to);
  const now = lead.clock.now();
  const parts = ranges.map(each =>
    createPartialLease(live, each, lead.nextFence(), now),
  );
  replaceLeases(lead, [live], parts);
  if (!(await saveAssignments(lead, parts))) return null;
  const part = parts.find(({assignment: holding}) => holding.from === range.from)!;
  // The server must know the part by its own fence before it gives it back.
  await Promise.all(parts.map(each => grantLease(lead, each)));
  return part.phase === 'held' ? part : null;
}

function replaceLeases(
  lead: LeaderState,
  old: readonly RangeLease[],
  fresh: readonly RangeLease[],
): void {
  const at = lead.leases.indexOf(old[0]!);
  lead.leases.splice(at, old.length, ...fresh);
  lead.onChange();
}
