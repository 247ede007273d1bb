import {sleep, type Clock} from '@banyandrum/base/clock.js';
import {createKeyLoad, type KeyLoad} from './key-load.js';
import type {Ledger} from './ledger.js';
import {
  createLive,
  createMerged,
  createPart,
  type LiveHolding,
} from './live-holding.js';
import type {OrderEnd, Orders} from './orders.js';
import {busyShare, planMove, type PlacedServer} from './planner.js';
import {createSaveLoop} from './save-loop.js';
import {
  cutEvenly,
  type Holding,
  type KeyRange,
  type RangeTable,
  type ServedRange,
} from './table.js';
import {
  AUTHORITY_MS,
  GRANT_WITHIN_MS,
  HOLD_MS,
  lapseOf,
  RELEASE_WITHIN_MS,
  RENEW_MS,
} from './timing.js';

/** A server of the service, as the leader knows it now. */
export interface LedServer extends PlacedServer {
  readonly address: string;
}

/** What leading a service needs. */
export interface LeadConfig {
  readonly service: string;
  /** The newest table in the ledger; null where there never was one. */
  readonly stored: RangeTable | null;
  readonly ledger: Ledger;
  readonly orders: Orders;
  readonly clock: Clock;
  /** Servers in the list that don't leave. */
  servers(): readonly LedServer[];
  /** Whether the run of a server has provably ended. */
  hasEnded(server: string): boolean;
  nextFence(): number;
  /** Whether this leader may still act. */
  mayAct(): boolean;
  /** Keys whose requests wait for a place now, one for each. */
  waitingKeys(): readonly number[];
  onChange(): void;
  /** Another leader seems to have taken over. */
  onFenced(): void;
  emit(event: string, fields: Record<string, string | number | null>): void;
}

/** A service's keys under one leader. */
export interface ServiceLead {
  readonly service: string;
  readonly load: KeyLoad;
  served(): readonly ServedRange[];
  tick(): void;
  stop(): void;
}

/** Holdings for each server at first: neighbours are often busy together. */
const CUTS_PER_SERVER = 2;
/** A server's holdings are cut no further than this. */
const MAX_HOLDINGS = 8;
const MAX_MOVES = 4;
/** Placement looks at the load this often, in ms. */
const PLAN_MS = 400;
/** Placement watches the load for this long first, in ms. */
const PLAN_AFTER_MS = 700;
/** Pauses after a grant that reached nobody, or is unproved, in ms. */
const UNSENT_MS = 150;
const WAIT_MS = 50;
/** A release gets this much time at least, in ms. */
const RELEASE_MIN_MS = 400;

interface Lead extends LeadConfig {
  lives: LiveHolding[];
  readonly load: KeyLoad;
  isStopped: boolean;
  /** Moves for the sake of load under way, and the servers they go to. */
  moves: number;
  readonly targets: Set<string>;
  planAt: number;
  fadedAt: number;
  save(): Promise<boolean>;
}

/**
 * Leads a service: records who may hold which keys, grants and renews them,
 * and moves them when servers leave or their load differs.
 *
 * A server is granted only what was recorded first, and a key goes to another
 * server only after the last one gave it back, its hold has surely lapsed, or
 * its run has ended; so two servers never hold a key, whichever leader acts.
 *
 * @example
 * ```ts
 * const lead = leadService(cfg);
 * const timer = setInterval(lead.tick, 50);
 * ```
 */
export function leadService(cfg: LeadConfig): ServiceLead {
  const now = cfg.clock.now();
  const lead: Lead = {
    ...cfg,
    lives: [],
    load: createKeyLoad(),
    isStopped: false,
    moves: 0,
    targets: new Set(),
    planAt: now + PLAN_AFTER_MS,
    fadedAt: now,
    save: () => saveLoop.save(),
  };
  const tableOf = (): RangeTable => ({
    service: cfg.service,
    holdings: lead.lives.map(({holding}) => holding),
  });
  const saveLoop = createSaveLoop(cfg.ledger, cfg.clock, tableOf, () => {
    lead.isStopped = true;
    cfg.onFenced();
  });
  if (cfg.stored !== null) adopt(lead, cfg.stored);
  return {
    service: cfg.service,
    load: lead.load,
    served: () => lead.lives.map(toServed),
    tick: () => tick(lead),
    stop() {
      lead.isStopped = true;
      saveLoop.stop();
    },
  };
}

function toServed({holding, isServed}: LiveHolding): ServedRange {
  const {from, to, server} = holding;
  return {from, to, server: isServed ? server : null};
}

/**
 * Takes over what an earlier leader recorded. Its servers go on serving, and
 * a higher fence shuts out its orders; one that can't be reached may still be
 * renewed by it as long as its authority lasts.
 */
function adopt(lead: Lead, stored: RangeTable): void {
  const now = lead.clock.now();
  lead.lives = stored.holdings.map(holding => {
    const fence = lead.nextFence();
    const live = createLive({...holding, fence}, now);
    if (holding.server === null) return live;
    const lapseAt = lapseOf(now + AUTHORITY_MS);
    return {...live, isServed: true, lapseAt, foreignUntil: lapseAt};
  });
  void record(lead, lead.lives);
}

/** Grants may go out once the holdings are on record. */
async function record(
  lead: Lead,
  lives: readonly LiveHolding[],
): Promise<boolean> {
  const isSaved = await lead.save();
  if (!isSaved) return false;
  for (const live of lives) {
    if (live.phase === 'waiting') live.phase = 'held';
  }
  return true;
}

function tick(lead: Lead): void {
  if (lead.isStopped || !lead.mayAct()) return;
  const now = lead.clock.now();
  lead.load.fade(now - lead.fadedAt);
  lead.fadedAt = now;
  const servers = lead.servers();
  if (lead.lives.length === 0) {
    if (servers.length > 0) cutFirst(lead, servers);
    return;
  }
  const open = new Set(servers.map(({id}) => id));
  for (const live of [...lead.lives]) tend(lead, live, open, now);
  if (now < lead.planAt) return;
  lead.planAt = now + PLAN_MS;
  if (mergeOne(lead, now)) return;
  while (lead.moves < MAX_MOVES && balance(lead, servers));
}

function cutFirst(lead: Lead, servers: readonly LedServer[]): void {
  const now = lead.clock.now();
  const ranges = cutEvenly(servers.length * CUTS_PER_SERVER);
  lead.lives = ranges.map((range, at) => {
    const {id, address} = servers[at % servers.length]!;
    const fence = lead.nextFence();
    const holding = {...range, server: id, address, fence, handover: null};
    return createLive(holding, now);
  });
  void record(lead, lead.lives);
}

function tend(
  lead: Lead,
  live: LiveHolding,
  open: ReadonlySet<string>,
  now: number,
): void {
  if (live.phase !== 'held' || live.order !== null) return;
  const {server} = live.holding;
  if (server === null) return void move(lead, live, 'free');
  if (lead.hasEnded(server)) return void move(lead, live, 'ended');
  if (!open.has(server)) return void move(lead, live, 'leaving');
  if (now < live.renewAt) return;
  live.order = grant(lead, live).finally(() => {
    live.order = null;
  });
}

async function grant(lead: Lead, live: LiveHolding): Promise<void> {
  if (lead.isStopped || !lead.mayAct()) return;
  const {holding} = live;
  const sentAt = lead.clock.now();
  const end = await lead.orders.grant(holding, HOLD_MS, GRANT_WITHIN_MS);
  const now = lead.clock.now();
  if (end.kind !== 'done') emitOrder(lead, 'grant-failed', holding, end);
  GRANT_ENDS[end.kind](lead, live, {sentAt, now});
}

interface GrantTimes {
  readonly sentAt: number;
  readonly now: number;
}

type GrantEnd = (lead: Lead, live: LiveHolding, times: GrantTimes) => void;

const GRANT_ENDS: Readonly<Record<OrderEnd['kind'], GrantEnd>> = {
  done(lead, live, {sentAt, now}) {
    // The first answer to this fence shuts earlier leaders out, so from here
    // on the hold is this leader's alone.
    live.foreignUntil = 0;
    live.lapseAt = Math.max(lapseOf(now), live.unprovedUntil);
    live.renewAt = sentAt + RENEW_MS;
    if (live.isServed || live.phase !== 'held') return;
    live.isServed = true;
    lead.emit('range-held', toFields(live.holding));
    lead.onChange();
  },
  unproved(_lead, live, {now}) {
    live.unprovedUntil = lapseOf(now);
    live.lapseAt = Math.max(live.lapseAt, live.unprovedUntil);
    live.renewAt = now;
  },
  unsent(lead, live, {now}) {
    live.renewAt = now + UNSENT_MS;
    if (now >= live.lapseAt) void move(lead, live, 'lapsed');
  },
  replaced(lead, live, {now}) {
    live.lapseAt = now;
    void move(lead, live, 'ended');
  },
  fenced(lead, live, {now}) {
    live.renewAt = now + UNSENT_MS;
    lead.onFenced();
  },
};

/** Moves a holding to the server that fits best. */
async function move(
  lead: Lead,
  live: LiveHolding,
  why: string,
  wanted: string | null = null,
): Promise<void> {
  if (live.phase !== 'held') return;
  live.phase = 'moving';
  live.isServed = false;
  lead.emit('range-leaves', {...toFields(live.holding), why, to: wanted});
  lead.onChange();
  const began = lead.clock.now();
  const handover = await takeBack(lead, live, why);
  const target = await findServer(lead, live, wanted);
  if (target === null) return;
  const {from, to} = live.holding;
  const now = lead.clock.now();
  live.holding = {
    ...{from, to, handover},
    ...{server: target.id, address: target.address},
    fence: lead.nextFence(),
  };
  Object.assign(live, {phase: 'waiting', renewAt: now, lapseAt: now});
  Object.assign(live, {unprovedUntil: 0, foreignUntil: 0});
  const tookMs = Math.round(now - began);
  lead.emit('range-assigned', {...toFields(live.holding), tookMs});
  await record(lead, [live]);
}

/** Resolves once nobody holds the range, with what the holder gave back. */
async function takeBack(
  lead: Lead,
  live: LiveHolding,
  why: string,
): Promise<string | null> {
  const {holding} = live;
  if (holding.server === null) return holding.handover;
  await live.order;
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
  const shareWith = (server: LedServer): number =>
    busyShare(server, rateAt(lead, server.id) + added) +
    // Without any load, the one with the fewest holdings.
    holdingsOf(lead, server.id).length * 1e-3;
  return servers.reduce((best, server) =>
    shareWith(server) < shareWith(best) ? server : best,
  );
}

function holdingsOf(lead: Lead, server: string): readonly LiveHolding[] {
  return lead.lives.filter(({holding}) => holding.server === server);
}

function rateAt(lead: Lead, server: string): number {
  return holdingsOf(lead, server).reduce(
    (sum, {holding}) => sum + lead.load.rateOf(holding),
    0,
  );
}

/** Starts one move; false where none would help. */
function balance(lead: Lead, servers: readonly LedServer[]): boolean {
  const now = lead.clock.now();
  // A server that gives or takes keys already is left alone until it did.
  const busy = new Set(
    lead.lives
      .filter(({phase}) => phase !== 'held')
      .map(({holding}) => holding.server),
  );
  const free = servers.filter(({id}) => !busy.has(id) && !lead.targets.has(id));
  const settled = lead.lives.filter(
    ({phase, isServed, unprovedUntil}) =>
      phase === 'held' && isServed && unprovedUntil <= now,
  );
  const planned = planMove(
    settled.map(({holding}) => holding),
    free,
    lead.load.rates(lead.waitingKeys()),
  );
  if (planned === null) return false;
  const live = settled.find(
    ({holding}) =>
      holding.from <= planned.range.from && planned.range.to <= holding.to,
  )!;
  const {range, to} = planned;
  lead.targets.add(to);
  lead.moves++;
  void moveSegment(lead, live, range, to).finally(() => {
    lead.targets.delete(to);
    lead.moves--;
  });
  return true;
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

async function grantNow(lead: Lead, live: LiveHolding): Promise<void> {
  if (live.order !== null) return live.order;
  live.order = grant(lead, live).finally(() => {
    live.order = null;
  });
  await live.order;
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

/** Joins two neighbours of one server; each holding costs renewals. */
function mergeOne(lead: Lead, now: number): boolean {
  const isStill = ({phase, isServed, order, unprovedUntil}: LiveHolding) =>
    phase === 'held' && isServed && order === null && unprovedUntil <= now;
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

function toFields(holding: Holding): Record<string, string | number | null> {
  const {from, to, server, fence} = holding;
  return {from, to, server, fence};
}

function emitOrder(
  lead: Lead,
  event: string,
  holding: Holding,
  {kind}: OrderEnd,
): void {
  lead.emit(event, {...toFields(holding), outcome: kind});
}
