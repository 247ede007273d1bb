import {startBalancingMoves, mergeNeighbours} from './balancing.js';
import {confirmLease} from './confirming.js';
import {grantLease} from './granting.js';
import {inheritRemembered, type InheritedAssignment} from './inheritance.js';
import {createKeyLoad, type KeyLoad} from './key-load.js';
import {
  saveAssignments,
  type LeaderState,
  type ServiceLeaderConfig,
  type ListedServer,
} from './lead-state.js';
import {createRangeLease, type RangeLease, type AssignmentSource} from './live-holding.js';
import {moveRange} from './moving.js';
import {createTableWriter} from './table-writer.js';
import {splitEvenly, type RangeTable, type ServedRange} from './table.js';
import {AUTHORITY_MS} from './timing.js';

/** A service's keys under one leader. */
export interface ServiceLeader {
  readonly service: string;
  readonly load: KeyLoad;
  served(): readonly ServedRange[];
  /**
   * What this leader knows, for its next term after a restore of the store;
   * `actUntil` is when its authority ends, in wakeful ms.
   */
  remembered(actUntil: number): readonly InheritedAssignment[];
  tick(): void;
  stop(): void;
}

/** Holdings for each server at first: neighbours are often busy together. */
const RANGES_PER_SERVER = 2;
/**
 * Moves for the sake of load at the same time, at least, and for each server
 * beyond: a pair of servers takes part in one move at a time.
 */
const MIN_CONCURRENT_MOVES = 4;
const CONCURRENT_MOVES_PER_SERVER = 0.2;
/** Counts of requests fade in steps of this time, in ms: a look at all keys. */
const DECAY_INTERVAL_MS = 200;
/** Placement looks at the load this often, in ms. */
const PLAN_INTERVAL_MS = 400;
/**
 * It looks again after this time, in ms, while a server is given more than it
 * can do: a busy stretch of keys is halved with each look.
 */
const URGENT_PLAN_INTERVAL_MS = 100;
/**
 * A new leader grants what it takes over one after the other, in ms each and in
 * all at the most: servers may hold their keys for another second only. A
 * thousand ranges granted at once kept it from all else for so long that those
 * who had just come to follow it left for its silence.
 */
const ADOPT_INTERVAL_MS = 0.5;
const MAX_ADOPT_MS = 500;
/** Placement watches the load for this long first, in ms. */
const FIRST_PLAN_DELAY_MS = 700;

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
export function createServiceLeader(cfg: ServiceLeaderConfig): ServiceLeader {
  const now = cfg.clock.now();
  const lead: LeaderState = {
    ...cfg,
    leases: [],
    load: createKeyLoad(),
    isStopped: false,
    activeMoves: 0,
    moveTargets: new Set(),
    nextPlanAt: now + FIRST_PLAN_DELAY_MS,
    lastDecayAt: now,
    save: () => saveLoop.save(),
    reassign: (live, why) => void moveRange(lead, live, why),
  };
  const tableOf = (): RangeTable => ({
    service: cfg.service,
    assignments: lead.leases.map(({assignment: holding}) => holding),
  });
  const saveLoop = createTableWriter(cfg.tableStore, cfg.clock, tableOf, () => {
    lead.isStopped = true;
    cfg.onFenced();
  });
  if (cfg.inherited !== null) adoptInherited(lead, cfg.inherited);
  return {
    service: cfg.service,
    load: lead.load,
    remembered: actUntil => inheritRemembered(lead.leases, actUntil),
    served: () => lead.leases.map(toServedRange),
    tick: () => tick(lead),
    stop() {
      lead.isStopped = true;
      saveLoop.stop();
    },
  };
}

function toServedRange({assignment: holding, isServed}: RangeLease): ServedRange {
  const {from, to, server} = holding;
  return {from, to, server: isServed ? server : null};
}

function adoptInherited(lead: LeaderState, inherited: readonly InheritedAssignment[]): void {
  const now = lead.clock.now();
  const stepMs = Math.min(ADOPT_INTERVAL_MS, MAX_ADOPT_MS / inherited.length);
  lead.leases = inherited.map((each, at) => ({
    ...ADOPTERS[each.source](lead, each),
    renewAt: now + at * stepMs,
  }));
  const recorded = lead.leases.filter(({source: standing}) => standing === 'recorded');
  if (recorded.length > 0) void saveAssignments(lead, recorded);
}

type Adopter = (lead: LeaderState, inherited: InheritedAssignment) => RangeLease;

const ADOPTERS: Readonly<Record<AssignmentSource, Adopter>> = {
  /**
   * The server goes on serving, and a higher fence shuts out an earlier leader's
   * orders; one that can't be reached may still be renewed by it as long as its
   * authority lasts.
   */
  recorded(lead, {assignment: holding}) {
    const now = lead.clock.now();
    const live = createRangeLease({...holding, fence: lead.nextFence()}, now);
    if (holding.server === null) return live;
    const lapseAt = lead.timing.expiryOf(now + AUTHORITY_MS);
    return {...live, isServed: true, expiresAt: lapseAt, earlierLeaderGrantUntil: lapseAt};
  },
  /** The server goes on serving once it confirms the fence that it knew. */
  remembered(lead, {assignment: holding, confirmDeadline: confirmBy}) {
    const lapseAt = lead.timing.expiryOf(lead.earlierLeadersActUntil);
    return {
      ...createRangeLease(holding, lead.clock.now()),
      ...{source: 'remembered', phase: 'held', isServed: true},
      ...{expiresAt: lapseAt, earlierLeaderGrantUntil: lapseAt, confirmDeadline: confirmBy},
    };
  },
  unknown(lead, {assignment: holding}) {
    return {
      ...createRangeLease(holding, lead.clock.now()),
      ...{source: 'unknown', phase: 'held'},
      expiresAt: lead.timing.expiryOf(lead.earlierLeadersActUntil),
    };
  },
};

function tick(lead: LeaderState): void {
  if (lead.isStopped || !lead.mayAct()) return;
  const now = lead.clock.now();
  if (now - lead.lastDecayAt >= DECAY_INTERVAL_MS) {
    lead.load.decay(now - lead.lastDecayAt);
    lead.lastDecayAt = now;
  }
  const servers = lead.servers();
  if (lead.leases.length === 0) {
    if (mayAssignAllKeys(lead, servers)) assignAllKeys(lead, servers);
    return;
  }
  const open = new Set(servers.map(({id}) => id));
  for (const live of [...lead.leases]) maintainLease(lead, live, open, now);
  if (now < lead.nextPlanAt) return;
  lead.nextPlanAt = now + PLAN_INTERVAL_MS;
  mergeNeighbours(lead, now);
  const most = Math.max(MIN_CONCURRENT_MOVES, servers.length * CONCURRENT_MOVES_PER_SERVER);
  if (lead.activeMoves >= most) return;
  const rates = lead.load.rates(lead.queuedKeys());
  const isUrgent = startBalancingMoves(lead, servers, rates, most - lead.activeMoves);
  if (isUrgent) lead.nextPlanAt = now + URGENT_PLAN_INTERVAL_MS;
}

/**
 * Keys are cut for the servers that are there. At a start they come to be
 * known one by one, and those that come after the cut get keys only as load
 * moves there; so it waits for the others, until the first request.
 */
function mayAssignAllKeys(lead: LeaderState, servers: readonly ListedServer[]): boolean {
  if (servers.length === 0 || !lead.areUnrecordedKeysFree()) return false;
  if (lead.isListSettled() || !lead.load.isEmpty()) return true;
  return lead.queuedKeys().length > 0;
}

function assignAllKeys(lead: LeaderState, servers: readonly ListedServer[]): void {
  const now = lead.clock.now();
  const ranges = splitEvenly(servers.length * RANGES_PER_SERVER);
  lead.leases = ranges.map((range, at) => {
    const {id, address} = servers[at % servers.length]!;
    const fence = lead.nextFence();
    const holding = {...range, server: id, address, fence, handover: null};
    return createRangeLease(holding, now);
  });
  void saveAssignments(lead, lead.leases);
}

function maintainLease(
  lead: LeaderState,
  live: RangeLease,
  open: ReadonlySet<string>,
  now: number,
): void {
  if (live.phase !== 'held' || live.pendingCall !== null) return;
  const {server} = live.assignment;
  if (live.source === 'unknown') {
    return void moveRange(lead, live, 'unknown', server);
  }
  if (live.source === 'remembered') return confirmLease(lead, live, now);
  if (server === null) return void moveRange(lead, live, 'free');
  if (lead.hasEnded(server)) return void moveRange(lead, live, 'ended');
  if (!open.has(server)) return void moveRange(lead, live, 'leaving');
  if (now < live.renewAt) return;
  void grantLease(lead, live);
}
