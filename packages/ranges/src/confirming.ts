import {emitOrder, record, type Lead} from './lead-state.js';
import {createLive, type LiveHolding} from './live-holding.js';
import type {OrderEnd} from './orders.js';

/** Pause between two questions to a server, in ms. */
const RETRY_MS = 150;

/**
 * Asks a holding's server, by a renewal under the fence of this router's term
 * before the store was restored, whether nobody ordered it anything since. A
 * leader that the store forgot can have moved the range only after the server
 * had seen its higher fence, and it recorded that before the restore; so a
 * server that accepts the old fence afterwards still holds the range alone.
 */
export function confirm(lead: Lead, live: LiveHolding, now: number): void {
  // Others count on this router's last term to act no longer.
  if (lead.wakefulNow() >= live.confirmBy) return loseTrack(live);
  if (now < live.renewAt || live.order !== null) return;
  live.order = ask(lead, live).finally(() => {
    live.order = null;
  });
}

async function ask(lead: Lead, live: LiveHolding): Promise<void> {
  if (lead.isStopped || !lead.mayAct()) return;
  if (lead.wakefulNow() >= live.confirmBy) return;
  const {holding} = live;
  const {holdMs, grantWithinMs} = lead.timing;
  const end = await lead.orders.grant(holding, holdMs, grantWithinMs);
  if (end.kind !== 'done') emitOrder(lead, 'confirm-failed', holding, end);
  live.renewAt = lead.clock.now() + RETRY_MS;
  ENDS[end.kind](lead, live);
}

type ConfirmEnd = (lead: Lead, live: LiveHolding) => void;

const ENDS: Readonly<Record<OrderEnd['kind'], ConfirmEnd>> = {
  done(lead, live) {
    const {lapseAt, foreignUntil, holding} = live;
    const now = lead.clock.now();
    const own = {...holding, fence: lead.nextFence()};
    // Until the server has seen the new fence, it may obey a forgotten leader.
    const known = {isServed: true, lapseAt, foreignUntil};
    Object.assign(live, createLive(own, now), known);
    void record(lead, [live]);
  },
  unproved(lead, live) {
    const lapseAt = lead.timing.lapseOf(lead.clock.now());
    live.lapseAt = Math.max(live.lapseAt, lapseAt);
  },
  unsent: () => undefined,
  replaced: (_lead, live) => loseTrack(live),
  fenced: (_lead, live) => loseTrack(live),
};

/** Nobody is known to hold it; it moves once all holds have lapsed. */
function loseTrack(live: LiveHolding): void {
  live.standing = 'unknown';
}
