import {sleep} from '@banyandrum/base/clock.js';
import {grantNow} from './granting.js';
import {
  emitOrder,
  record,
  toFields,
  type Lead,
  type LedServer,
  type MoveReason,
} from './lead-state.js';
import {createLive, type LiveHolding} from './live-holding.js';
import {busyShare} from './planner.js';
import type {KeyRange} from './table.js';
import {RELEASE_WITHIN_MS} from './timing.js';

/** Waits for a lapse or a server are looked at again after this time, in ms. */
const WAIT_MS = 50;
/** A release gets this much time at least, in ms. */
const RELEASE_MIN_MS = 400;

/** Moves a holding to the server that fits best. */
export async function move(
  lead: Lead,
  live: LiveHolding,
  why: MoveReason,
  wanted: string | null = null,
): Promise<void> {
  if (live.phase !== 'held') return;
  live.phase = 'moving';
  live.isServed = false;
  lead.emit('range-leaves', {...toFields(live.holding), why, to: wanted});
  lead.onWithdrawn();
  const began = lead.clock.now();
  const handover = await takeBack(lead, live, why);
  const target = await findServer(lead, live, wanted);
  if (target === null) return;
  const {from, to} = live.holding;
  const now = lead.clock.now();
  const holding = {
    ...{from, to, handover},
    ...{server: target.id, address: target.address},
    fence: lead.nextFence(),
  };
  Object.assign(live, createLive(holding, now));
  const tookMs = Math.round(now - began);
  lead.emit('range-assigned', {...toFields(live.holding), tookMs});
  await record(lead, [live]);
}

/** Resolves once nobody holds the range, with what the holder gave back. */
async function takeBack(
  lead: Lead,
  live: LiveHolding,
  why: MoveReason,
): Promise<string | null> {
  const {holding} = live;
  if (holding.server === null) return holding.handover;
  await live.order;
  if (why === 'unknown') {
    await waitUntil(lead, () => live.lapseAt);
    return null;
  }
  if (why === 'ended') return null;
  // An earlier leader's grant may still be carried out after the release,
  // unless the server has seen a higher fence before.
  if (live.foreignUntil > 0) await grantNow(lead, live);
  // After the lapse an answer would tell nothing more; a server that fell
  // silent must not keep its keys unserved for longer.
  const left = live.lapseAt - lead.clock.now();
  const within = Math.min(RELEASE_WITHIN_MS, Math.max(RELEASE_MIN_MS, left));
  const end = await lead.orders.release(holding, within);
  if (end.kind === 'replaced') return null;
  if (end.kind === 'done') {
    // A grant without an answer may still be carried out, after the release.
    await waitUntil(lead, () =>
      Math.max(live.unprovedUntil, live.foreignUntil),
    );
    return end.handover;
  }
  emitOrder(lead, 'release-failed', holding, end);
  await waitUntil(lead, () =>
    lead.hasEnded(holding.server!) ? 0 : live.lapseAt,
  );
  return null;
}

async function waitUntil(lead: Lead, time: () => number): Promise<void> {
  while (!lead.isStopped && lead.clock.now() < time()) {
    await sleep(lead.clock, WAIT_MS);
  }
}

async function findServer(
  lead: Lead,
  live: LiveHolding,
  wanted: string | null,
): Promise<LedServer | null> {
  while (!lead.isStopped) {
    const servers = lead.servers().filter(({isOpen}) => isOpen);
    const exact = servers.find(({id}) => id === wanted);
    if (exact !== undefined) return exact;
    if (servers.length > 0) return idlest(lead, servers, live.holding);
    await sleep(lead.clock, WAIT_MS);
  }
  return null;
}

function idlest(
  lead: Lead,
  servers: readonly LedServer[],
  range: KeyRange,
): LedServer {
  const added = lead.load.rateOf(range);
  const held = sumHeld(lead);
  let best = servers[0]!;
  let bestShare = Infinity;
  for (const server of servers) {
    const {rate, count} = held.get(server.id) ?? NOTHING_HELD;
    // Without any load, the one with the fewest holdings.
    const share = busyShare(server, rate + added) + count * 1e-3;
    if (share >= bestShare) continue;
    best = server;
    bestShare = share;
  }
  return best;
}

/** What a server holds: requests a second, and holdings. */
interface Held {
  rate: number;
  count: number;
}

const NOTHING_HELD: Readonly<Held> = {rate: 0, count: 0};

function sumHeld({lives, load}: Lead): ReadonlyMap<string, Readonly<Held>> {
  const sums = new Map<string, Held>();
  for (const {holding} of lives) {
    const {server} = holding;
    if (server === null) continue;
    const sum = sums.get(server) ?? {...NOTHING_HELD};
    sum.rate += load.rateOf(holding);
    sum.count++;
    sums.set(server, sum);
  }
  return sums;
}
