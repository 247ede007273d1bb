import {balance, mergeOne} from './balancing.js';
import {confirm} from './confirming.js';
import {grantNow} from './granting.js';
import {inheritRemembered, type InheritedHolding} from './inheritance.js';
import {createKeyLoad, type KeyLoad} from './key-load.js';
import {
  record,
  type Lead,
  type LeadConfig,
  type LedServer,
} from './lead-state.js';
import {createLive, type LiveHolding, type Standing} from './live-holding.js';
import {move} from './moving.js';
import {createSaveLoop} from './save-loop.js';
import {cutEvenly, type RangeTable, type ServedRange} from './table.js';
import {AUTHORITY_MS} from './timing.js';

/** A service's keys under one leader. */
export interface ServiceLead {
  readonly service: string;
  readonly load: KeyLoad;
  served(): readonly ServedRange[];
  /**
   * What this leader knows, for its next term after a restore of the store;
   * `actUntil` is when its authority ends, in wakeful ms.
   */
  remembered(actUntil: number): readonly InheritedHolding[];
  tick(): void;
  stop(): void;
}

/** Holdings for each server at first: neighbours are often busy together. */
const CUTS_PER_SERVER = 2;
/**
 * Moves for the sake of load at the same time, at least, and for each server
 * beyond: a pair of servers takes part in one move at a time.
 */
const MIN_MOVES = 4;
const MOVES_PER_SERVER = 0.2;
/** Counts of requests fade in steps of this time, in ms: a look at all keys. */
const FADE_MS = 200;
/** Placement looks at the load this often, in ms. */
const PLAN_MS = 400;
/**
 * It looks again after this time, in ms, while a server is given more than it
 * can do: a busy stretch of keys is halved with each look.
 */
const URGENT_MS = 100;
/**
 * A new leader grants what it takes over one after the other, in ms each and in
 * all at the most: servers may hold their keys for another second only. A
 * thousand ranges granted at once kept it from all else for so long that those
 * who had just come to follow it left for its silence.
 */
const ADOPT_MS = 0.5;
const ADOPT_MOST_MS = 500;
/** Placement watches the load for this long first, in ms. */
const PLAN_AFTER_MS = 700;

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
    lose: (live, why) => void move(lead, live, why),
  };
  const tableOf = (): RangeTable => ({
    service: cfg.service,
    holdings: lead.lives.map(({holding}) => holding),
  });
  const saveLoop = createSaveLoop(cfg.ledger, cfg.clock, tableOf, () => {
    lead.isStopped = true;
    cfg.onFenced();
  });
  if (cfg.inherited !== null) adopt(lead, cfg.inherited);
  return {
    service: cfg.service,
    load: lead.load,
    remembered: actUntil => inheritRemembered(lead.lives, actUntil),
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

function adopt(lead: Lead, inherited: readonly InheritedHolding[]): void {
  const now = lead.clock.now();
  const stepMs = Math.min(ADOPT_MS, ADOPT_MOST_MS / inherited.length);
  lead.lives = inherited.map((each, at) => ({
    ...ADOPTERS[each.standing](lead, each),
    renewAt: now + at * stepMs,
  }));
  const recorded = lead.lives.filter(({standing}) => standing === 'recorded');
  if (recorded.length > 0) void record(lead, recorded);
}

type Adopter = (lead: Lead, inherited: InheritedHolding) => LiveHolding;

const ADOPTERS: Readonly<Record<Standing, Adopter>> = {
  /**
   * The server goes on serving, and a higher fence shuts out an earlier leader's
   * orders; one that can't be reached may still be renewed by it as long as its
   * authority lasts.
   */
  recorded(lead, {holding}) {
    const now = lead.clock.now();
    const live = createLive({...holding, fence: lead.nextFence()}, now);
    if (holding.server === null) return live;
    const lapseAt = lead.timing.lapseOf(now + AUTHORITY_MS);
    return {...live, isServed: true, lapseAt, foreignUntil: lapseAt};
  },
  /** The server goes on serving once it confirms the fence that it knew. */
  remembered(lead, {holding, confirmBy}) {
    const lapseAt = lead.timing.lapseOf(lead.earlierActUntil);
    return {
      ...createLive(holding, lead.clock.now()),
      ...{standing: 'remembered', phase: 'held', isServed: true},
      ...{lapseAt, foreignUntil: lapseAt, confirmBy},
    };
  },
  unknown(lead, {holding}) {
    return {
      ...createLive(holding, lead.clock.now()),
      ...{standing: 'unknown', phase: 'held'},
      lapseAt: lead.timing.lapseOf(lead.earlierActUntil),
    };
  },
};

function tick(lead: Lead): void {
  if (lead.isStopped || !lead.mayAct()) return;
  const now = lead.clock.now();
  if (now - lead.fadedAt >= FADE_MS) {
    lead.load.fade(now - lead.fadedAt);
    lead.fadedAt = now;
  }
  const servers = lead.servers();
  if (lead.lives.length === 0) {
    if (mayCut(lead, servers)) cutFirst(lead, servers);
    return;
  }
  const open = new Set(servers.map(({id}) => id));
  for (const live of [...lead.lives]) tend(lead, live, open, now);
  if (now < lead.planAt) return;
  lead.planAt = now + PLAN_MS;
  mergeOne(lead, now);
  const most = Math.max(MIN_MOVES, servers.length * MOVES_PER_SERVER);
  if (lead.moves >= most) return;
  const rates = lead.load.rates(lead.waitingKeys());
  const isUrgent = balance(lead, servers, rates, most - lead.moves);
  if (isUrgent) lead.planAt = now + URGENT_MS;
}

/**
 * Keys are cut for the servers that are there. At a start they come to be
 * known one by one, and those that come after the cut get keys only as load
 * moves there; so it waits for the others, until the first request.
 */
function mayCut(lead: Lead, servers: readonly LedServer[]): boolean {
  if (servers.length === 0 || !lead.isUnrecordedFree()) return false;
  if (lead.isListSettled() || !lead.load.isEmpty()) return true;
  return lead.waitingKeys().length > 0;
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
  if (live.standing === 'unknown') {
    return void move(lead, live, 'unknown', server);
  }
  if (live.standing === 'remembered') return confirm(lead, live, now);
  if (server === null) return void move(lead, live, 'free');
  if (lead.hasEnded(server)) return void move(lead, live, 'ended');
  if (!open.has(server)) return void move(lead, live, 'leaving');
  if (now < live.renewAt) return;
  void grantNow(lead, live);
}
