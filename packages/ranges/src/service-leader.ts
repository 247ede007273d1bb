import {expectedLate} from './assigned-load.js';
import {startBalancingMoves, mergeNeighbours} from './balancing.js';
import {confirmLease} from './confirm-lease.js';
import {
  createEvacuationMoves,
  type EvacuationMoves,
} from './evacuate-ranges.js';
import {grantLease} from './grant-lease.js';
import {renewPrevious} from './previous-leases.js';
import {inheritRemembered, type InheritedAssignment} from './inheritance.js';
import {regrantLease} from './regrant-lease.js';
import {createKeyLoad, type KeyLoad} from './key-load.js';
import {
  saveAssignments,
  type LeaderState,
  type ServiceLeaderConfig,
  type ListedServer,
} from './leader-state.js';
import {
  createRangeLease,
  type RangeLease,
  type AssignmentSource,
} from './range-lease.js';
import {moveRange} from './move-range.js';
import {createTableWriter} from './table-writer.js';
import {trackUnsentMoves} from './unsent-moves.js';
import {splitEvenly, type RangeTable, type ServedRange} from './table.js';
import {shortenInheritedLeases} from './shorten-inherited.js';

/** The leader of one service: assigns its keys to servers. */
export interface ServiceLeader {
  readonly service: string;
  readonly load: KeyLoad;
  /** All ranges, with the server that requests may be sent to. */
  served(): readonly ServedRange[];
  /**
   * The assignments that this router may take over in its next term if the
   * store is restored. `authorityEndsAt` is when the authority of the present
   * term ends, in ms on the suspend-aware clock.
   */
  remembered(authorityEndsAt: number): readonly InheritedAssignment[];
  /**
   * The server answered that it doesn't hold the key, to a request that was
   * sent at the monotonic time `sentAt`, in ms, or later.
   */
  noteNotHeld(key: number, server: string, sentAt: number): void;
  /** Late answers per second that are expected; 0 without a profile. */
  expectedLate(): number;
  /** Renews leases and moves ranges; called at short intervals. */
  tick(): void;
  stop(): void;
}

/**
 * Initial ranges per server; more than one because adjacent keys are often busy
 * together.
 */
const RANGES_PER_SERVER = 2;
/**
 * Concurrent load balancing moves: a minimum, and a number per server for large
 * services. A server takes part in one move at a time, and each involves two.
 */
const MIN_CONCURRENT_MOVES = 4;
const CONCURRENT_MOVES_PER_SERVER = 0.2;
/** Interval at which request counts decay, in ms; each step visits all keys. */
const DECAY_INTERVAL_MS = 200;
/** Interval between plans of load balancing moves, in ms. */
const PLAN_INTERVAL_MS = 400;
/**
 * Interval while a server is overloaded, in ms. It is shorter because each plan
 * only halves the load of a busy key range.
 */
const URGENT_PLAN_INTERVAL_MS = 100;
/**
 * A new leader spreads the grants for the ranges that it takes over: this
 * interval between two, and this maximum for all, in ms, because the servers'
 * leases may expire within a second. A thousand grants at once blocked the
 * event loop for so long that routers which had just connected as followers
 * timed out.
 */
const ADOPT_INTERVAL_MS = 0.5;
const MAX_ADOPT_MS = 500;
/** How long a new leader observes the load before the first plan, in ms. */
const FIRST_PLAN_DELAY_MS = 700;

/**
 * Creates the leader of a service. It stores which server each key range is
 * assigned to, grants and renews the leases, and moves ranges when servers
 * leave or to balance load.
 *
 * An assignment is stored before its lease is granted. A range is assigned to
 * another server only after the previous one has released it, its lease has
 * certainly expired, or the server instance has terminated. Therefore no two
 * servers ever hold leases on the same key, whichever leaders act.
 *
 * @example
 * ```ts
 * const leader = createServiceLeader(cfg);
 * const timer = setInterval(leader.tick, 50);
 * ```
 */
export function createServiceLeader(cfg: ServiceLeaderConfig): ServiceLeader {
  const now = cfg.clock.now();
  const leader: LeaderState = {
    ...cfg,
    leases: [],
    load: createKeyLoad(),
    isStopped: false,
    activeMoves: 0,
    moveTargets: new Set(),
    hotKeyMoves: new Map(),
    lastGiven: new Map(),
    lastTaken: new Map(),
    nextPlanAt: now + FIRST_PLAN_DELAY_MS,
    lastDecayAt: now,
    earlierTermsEndAt: cfg.earlierTermsActUntil(),
    save: () => tableWriter.save(),
    sinceSavedMs: () => tableWriter.sinceSavedMs(),
    reassign: (lease, reason) => void moveRange(leader, lease, reason),
  };
  const evacuationMoves = createEvacuationMoves();
  const currentTable = (): RangeTable => ({
    service: cfg.service,
    assignments: leader.leases.map(({assignment}) => assignment),
  });
  const tableWriter = createTableWriter(
    trackUnsentMoves(cfg.tableStore, () => leader.leases),
    cfg.clock,
    currentTable,
    () => {
      leader.isStopped = true;
      cfg.onFenced();
    },
  );
  if (cfg.inherited !== null) adoptInherited(leader, cfg.inherited);
  return {
    service: cfg.service,
    load: leader.load,
    remembered: authorityEndsAt =>
      inheritRemembered(leader.leases, authorityEndsAt),
    served: () => leader.leases.map(toServedRange),
    noteNotHeld: (key, server, sentAt) =>
      regrantLease(leader, key, server, sentAt),
    expectedLate: () => expectedLate(leader),
    tick: () => tick(leader, evacuationMoves),
    stop() {
      leader.isStopped = true;
      tableWriter.stop();
    },
  };
}

function toServedRange({assignment, isServed}: RangeLease): ServedRange {
  const {from, to, server} = assignment;
  return {from, to, server: isServed ? server : null};
}

function adoptInherited(
  leader: LeaderState,
  inherited: readonly InheritedAssignment[],
): void {
  const now = leader.clock.now();
  const intervalMs = Math.min(
    ADOPT_INTERVAL_MS,
    MAX_ADOPT_MS / inherited.length,
  );
  leader.leases = inherited.map((each, at) => ({
    ...ADOPTERS[each.source](leader, each),
    renewAt: now + at * intervalMs,
  }));
  const recorded = leader.leases.filter(({source}) => source === 'recorded');
  if (recorded.length > 0) void saveAssignments(leader, recorded);
}

type Adopter = (
  leader: LeaderState,
  inherited: InheritedAssignment,
) => RangeLease;

const ADOPTERS: Readonly<Record<AssignmentSource, Adopter>> = {
  /**
   * The server continues to serve the range, and a higher fence makes it reject
   * an earlier leader's calls. If this leader can't reach the server, an
   * earlier leader may still renew the lease until its authority ends.
   */
  recorded(leader, {assignment}) {
    const now = leader.clock.now();
    const lease = createRangeLease(
      {...assignment, fence: leader.nextFence()},
      now,
    );
    if (assignment.server === null) return lease;
    const expiresAt = leader.timing.expiryOf(leader.earlierTermsEndAt);
    return {
      ...lease,
      isServed: true,
      expiresAt,
      earlierLeaderGrantUntil: expiresAt,
    };
  },
  /**
   * The server confirms the known fence. It continues to serve the range unless
   * that was being moved.
   */
  remembered(leader, {assignment, isServed, confirmDeadline}) {
    const expiresAt = leader.timing.expiryOf(leader.earlierLeadersActUntil);
    return {
      ...createRangeLease(assignment, leader.clock.now()),
      ...{source: 'remembered', phase: 'held', isServed},
      ...{expiresAt, earlierLeaderGrantUntil: expiresAt, confirmDeadline},
    };
  },
  unknown(leader, {assignment}) {
    return {
      ...createRangeLease(assignment, leader.clock.now()),
      ...{source: 'unknown', phase: 'held'},
      expiresAt: leader.timing.expiryOf(leader.earlierLeadersActUntil),
    };
  },
};

function tick(leader: LeaderState, evacuationMoves: EvacuationMoves): void {
  if (leader.isStopped || !leader.mayAct()) return;
  shortenInheritedLeases(leader);
  const now = leader.clock.now();
  if (now - leader.lastDecayAt >= DECAY_INTERVAL_MS) {
    leader.load.decay(now - leader.lastDecayAt);
    leader.lastDecayAt = now;
  }
  const servers = leader.servers();
  if (leader.leases.length === 0) {
    if (mayAssignAllKeys(leader, servers)) assignAllKeys(leader, servers);
    return;
  }
  const listed = new Set(servers.map(({id}) => id));
  for (const lease of [...leader.leases])
    maintainLease(leader, lease, listed, now);
  evacuationMoves.run(leader, servers);
  if (now < leader.nextPlanAt) return;
  leader.nextPlanAt = now + PLAN_INTERVAL_MS;
  mergeNeighbours(leader, now);
  const maxMoves = Math.max(
    MIN_CONCURRENT_MOVES,
    servers.length * CONCURRENT_MOVES_PER_SERVER,
  );
  if (leader.activeMoves >= maxMoves) return;
  const rates = leader.load.rates(leader.queuedKeys());
  const isUrgent = startBalancingMoves(
    leader,
    servers,
    rates,
    maxMoves - leader.activeMoves,
  );
  if (isUrgent) leader.nextPlanAt = now + URGENT_PLAN_INTERVAL_MS;
}

/**
 * Whether to make the initial assignment of all keys to the listed servers.
 * When a deployment starts, servers are listed one by one, and those listed
 * after the initial assignment only get keys through load balancing. So the
 * leader waits until the list has settled or the first request arrives.
 */
function mayAssignAllKeys(
  leader: LeaderState,
  servers: readonly ListedServer[],
): boolean {
  const isAnyUsable = servers.some(({isEvacuated}) => !isEvacuated);
  if (!isAnyUsable || !leader.areUnrecordedKeysFree()) return false;
  if (leader.isListSettled() || !leader.load.isEmpty()) return true;
  return leader.queuedKeys().length > 0;
}

function assignAllKeys(
  leader: LeaderState,
  servers: readonly ListedServer[],
): void {
  const now = leader.clock.now();
  const usable = servers.filter(({isEvacuated}) => !isEvacuated);
  const ranges = splitEvenly(usable.length * RANGES_PER_SERVER);
  leader.leases = ranges.map((range, at) => {
    const {id, address} = usable[at % usable.length]!;
    const fence = leader.nextFence();
    const assignment = {...range, server: id, address, fence, handover: null};
    return createRangeLease(assignment, now);
  });
  void saveAssignments(leader, leader.leases);
}

function maintainLease(
  leader: LeaderState,
  lease: RangeLease,
  listed: ReadonlySet<string>,
  now: number,
): void {
  if (lease.phase === 'waiting') return renewPrevious(leader, lease, now);
  if (lease.phase !== 'held' || lease.pendingCall !== null) return;
  const {server} = lease.assignment;
  if (lease.source === 'unknown') {
    return void moveRange(leader, lease, 'unknown', server);
  }
  if (lease.source === 'remembered') return confirmLease(leader, lease, now);
  if (server === null) return void moveRange(leader, lease, 'free');
  if (leader.hasEnded(server)) return void moveRange(leader, lease, 'ended');
  if (!listed.has(server)) return void moveRange(leader, lease, 'leaving');
  if (now < lease.renewAt) return;
  void grantLease(leader, lease);
}
