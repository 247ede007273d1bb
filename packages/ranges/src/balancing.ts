import {grantNow} from './granting.js';
import {holdingsOf, record, type Lead, type LedServer} from './lead-state.js';
import type {KeyRate} from './key-load.js';
import {
  createMerged,
  createPart,
  isSettled,
  type LiveHolding,
} from './live-holding.js';
import {move} from './moving.js';
import {planMoves} from './planner.js';
import type {KeyRange} from './table.js';

/** A server's holdings are cut no further than this: each costs renewals. */
const MAX_HOLDINGS = 8;

/**
 * Starts up to `most` moves for the sake of load; whether some server is given
 * more than it can do.
 */
export function balance(
  lead: Lead,
  servers: readonly LedServer[],
  rates: readonly KeyRate[],
  most: number,
): boolean {
  const now = lead.clock.now();
  // A server that gives or takes keys already is left alone until it did.
  const busy = new Set(
    lead.lives
      .filter(({phase}) => phase !== 'held')
      .map(({holding}) => holding.server),
  );
  const free = servers.filter(({id}) => !busy.has(id) && !lead.targets.has(id));
  const settled = lead.lives.filter(live => isSettled(live, now));
  const holdings = settled.map(({holding}) => holding);
  const plan = planMoves({holdings, servers: free, rates}, most);
  for (const {range, to} of plan.moves) {
    const live = settled.find(
      ({holding}) => holding.from <= range.from && range.to <= holding.to,
    )!;
    lead.targets.add(to);
    lead.moves++;
    void moveSegment(lead, live, range, to).finally(() => {
      lead.targets.delete(to);
      lead.moves--;
    });
  }
  return plan.isUrgent;
}

/** Joins two neighbours of one server; each holding costs renewals. */
export function mergeOne(lead: Lead, now: number): boolean {
  const isStill = (live: LiveHolding): boolean =>
    isSettled(live, now) && live.order === null;
  for (let at = 0; at + 1 < lead.lives.length; at++) {
    const left = lead.lives[at]!;
    const right = lead.lives[at + 1]!;
    if (left.holding.server !== right.holding.server) continue;
    if (!isStill(left) || !isStill(right)) continue;
    const merged = createMerged(left, right, lead.nextFence(), now);
    replace(lead, [left, right], [merged]);
    void record(lead, [merged]);
    return true;
  }
  return false;
}

async function moveSegment(
  lead: Lead,
  live: LiveHolding,
  range: KeyRange,
  to: string,
): Promise<void> {
  const {holding} = live;
  if (range.from === holding.from && range.to === holding.to) {
    return move(lead, live, 'load', to);
  }
  if (holdingsOf(lead, holding.server!).length >= MAX_HOLDINGS) return;
  const part = await cut(lead, live, range);
  if (part !== null) await move(lead, part, 'load', to);
}

/** Cuts a holding, so that one part can go; yields that part. */
async function cut(
  lead: Lead,
  live: LiveHolding,
  range: KeyRange,
): Promise<LiveHolding | null> {
  live.phase = 'waiting';
  await live.order;
  const {from, to} = live.holding;
  const ranges = [
    {from, to: range.from - 1},
    range,
    {from: range.to + 1, to},
  ].filter(each => each.from <= each.to);
  const now = lead.clock.now();
  const parts = ranges.map(each =>
    createPart(live, each, lead.nextFence(), now),
  );
  replace(lead, [live], parts);
  if (!(await record(lead, parts))) return null;
  const part = parts.find(({holding}) => holding.from === range.from)!;
  // The server must know the part by its own fence before it gives it back.
  await Promise.all(parts.map(each => grantNow(lead, each)));
  return part.phase === 'held' ? part : null;
}

function replace(
  lead: Lead,
  old: readonly LiveHolding[],
  fresh: readonly LiveHolding[],
): void {
  const at = lead.lives.indexOf(old[0]!);
  lead.lives.splice(at, old.length, ...fresh);
  lead.onChange();
}
