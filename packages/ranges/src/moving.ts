import {sleep} from '@banyandrum/base/clock.js';
import {grantLease} from './granting.js';
import {
  emitCallResult,
  saveAssignments,
  toEventFields,
  type LeaderState,
  type ListedServer,
  type MoveReason,
} from './lead-state.js';
import {createRangeLease, type RangeLease} from './live-holding.js';
import {utilization} from './planner.js';
import type {KeyRange} from './table.js';
import {RELEASE_TIMEOUT_MS} from './timing.js';

/** Waits for a lapse or a server are looked at again after this time, in ms. */
const POLL_INTERVAL_MS = 50;
/** A release gets this much time at least, in ms. */
const MIN_RELEASE_TIMEOUT_MS = 400;

/** Moves a holding to the server that fits best. */
export async function moveRange(
  lead: LeaderState,
  live: RangeLease,
  why: MoveReason,
  wanted: string | null = null,
): Promise<void> {
  if (live.phase !== 'held') return;
  live.phase = 'moving';
  live.isServed = false;
  lead.emit('range-leaves', {...toEventFields(live.assignment), why, to: wanted});
  lead.onWithdrawn();
  const began = lead.clock.now();
  const handover = await reclaimRange(lead, live, why);
  const target = await chooseTarget(lead, live, wanted);
  if (target === null) return;
  const {from, to} = live.assignment;
  const now = lead.clock.now();
  const holding = {
    ...{from, to, handover},
    ...{server: target.id, address: target.address},
    fence: lead.nextFence(),
  };
  Object.assign(live, createRangeLease(holding, now));
  const tookMs = Math.round(now - began);
  lead.emit('range-assigned', {...toEventFields(live.assignment), tookMs});
  await saveAssignments(lead, [live]);
}

/** Resolves once nobody holds the range, with what the holder gave back. */
async function reclaimRange(
  lead: LeaderState,
  live: RangeLease,
  why: MoveReason,
): Promise<string | null> {
  const {assignment: holding} = live;
  if (holding.server === null) return holding.handover;
  await live.pendingCall;
  if (why === 'unknown') {
    await waitUntil(lead, () => live.expiresAt);
    return null;
  }
  if (why === 'ended') return null;
  // An earlier leader's grant may still be carried out after the release,
  // unless the server has seen a higher fence before.
  if (live.earlierLeaderGrantUntil > 0) await grantLease(lead, live);
  // After the lapse an answer would tell nothing more; a server that fell
  // silent must not keep its keys unserved for longer.
  const left = live.expiresAt - lead.clock.now();
  const within = Math.min(RELEASE_TIMEOUT_MS, Math.max(MIN_RELEASE_TIMEOUT_MS, left));
  const end = await lead.leaseClient.release(holding, within);
  if (end.kind === 'replaced') return null;
  if (end.kind === 'done') {
    // A grant without an answer may still be carried out, after the release.
    await waitUntil(lead, () =>
      Math.max(live.lateGrantUntil, live.earlierLeaderGrantUntil),
    );
    return end.handover;
  }
  emitCallResult(lead, 'release-failed', holding, end);
  await waitUntil(lead, () =>
    lead.hasEnded(holding.server!) ? 0 : live.expiresAt,
  );
  return null;
}

async function waitUntil(lead: LeaderState, time: () => number): Promise<void> {
  while (!lead.isStopped && lead.clock.now() < time()) {
    await sleep(lead.clock, POLL_INTERVAL_MS);
  }
}

async function chooseTarget(
  lead: LeaderState,
  live: RangeLease,
  wanted: string | null,
): Promise<ListedServer | null> {
  while (!lead.isStopped) {
    const servers = lead.servers().filter(({isOpen}) => isOpen);
    const exact = servers.find(({id}) => id === wanted);
    if (exact !== undefined) return exact;
    if (servers.length > 0) return leastLoaded(lead, servers, live.assignment);
    await sleep(lead.clock, POLL_INTERVAL_MS);
  }
  return null;
}

function leastLoaded(
  lead: LeaderState,
  servers: readonly ListedServer[],
  range: KeyRange,
): ListedServer {
  const added = lead.load.rateOf(range);
  const held = loadByServer(lead);
  let best = servers[0]!;
  let bestShare = Infinity;
  for (const server of servers) {
    const {rate, count} = held.get(server.id) ?? NO_LOAD;
    // Without any load, the one with the fewest holdings.
    const share = utilization(server, rate + added) + count * 1e-3;
    if (share >= bestShare) continue;
    best = server;
    bestShare = share;
  }
  return best;
}

/** What a server holds: requests a second, and holdings. */
interface AssignedLoad {
  rate: number;
  count: number;
}

const NO_LOAD: Readonly<AssignedLoad> = {rate: 0, count: 0};

function loadByServer({leases: lives, load}: LeaderState): ReadonlyMap<string, Readonly<AssignedLoad>> {
  const sums = new Map<string, AssignedLoad>();
  for (const {assignment: holding} of lives) {
    const {server} = holding;
    if (server === null) continue;
    const sum = sums.get(server) ?? {...NO_LOAD};
    sum.rate += load.rateOf(holding);
    sum.count++;
    sums.set(server, sum);
  }
  return sums;
}
