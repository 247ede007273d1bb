import type {Emit} from '@banyandrum/dispatch/events.js';
import type {LeaderRead} from '@banyandrum/ranges/table-store.js';
import {
  hasClearlyMoreCapacity,
  type Candidate,
  type HostCapacity,
} from './host-capacity.js';

/** What the leader election needs to know of this router and the leader. */
export interface LeaderElectionConfig {
  readonly emit: Emit;
  /** The address at which other routers reach this one, `ip:port`. */
  readonly self: string;
  /** Whether the platform's last recent answer chose this router to lead. */
  isChosen(): boolean;
  /** Whether this router should succeed a leader that is certainly lost. */
  isSuccessor(): boolean;
  /** Whether no leader works at the address any more. */
  isGone(address: string): boolean;
  isLeading(): boolean;
  /** Time since this router noticed a restore of the store, in ms. */
  sinceRestoreMs(): number;
  /**
   * Time since the followed leader last reached the platform, in ms; null while
   * no leader is followed.
   */
  leaderContactAgeMs(): number | null;
  readLastLeader(): Promise<LeaderRead>;
  /** Whether this process has followed a leader. */
  hasFollowed(): boolean;
  /** Follows the leader at the address; false if no router leads there. */
  followAt(address: string): Promise<boolean>;
  /** Whether there are servers that this router can't reach and others can. */
  isCutOff(): boolean;
  /** Routers that the last leader designated to lead next, the best first. */
  deputies(): readonly Candidate[];
  readonly room: HostCapacity;
  /** Asks the router at the address to lead; returns whether it does. */
  offerLeadership(address: string): Promise<boolean>;
  /** Starts a term; returns whether this router leads afterwards. */
  startTerm(): Promise<boolean>;
}

/** Decides whether this router becomes the leader. */
export interface LeaderElection {
  /**
   * Runs an election if this router is chosen or the successor, and no leader
   * works.
   */
  runIfNeeded(): Promise<void>;
  /**
   * Handles the request of a router that follows no leader to lead; returns
   * whether any router leads afterwards. A working leader is kept even if the
   * requesting router can't reach it.
   */
  handleOffer(): Promise<boolean>;
}

/**
 * A leader without an answer from the platform for this long counts as cut off
 * from it, in ms, since it can't record moves. Several consecutive membership
 * renewals fail within this time.
 */
const LOST_CONTACT_MS = 2_000;
/**
 * Time that a reachable leader has after a restore of the store to reconnect to
 * it, in ms: only that leader knows which server owns which keys.
 */
const RESTORE_GRACE_MS = 2_000;

/** What the search for a leader that works found. */
type LeaderSearch =
  | {readonly kind: 'found' | 'unknown'}
  /** `last` is the address of the last leader, if another router led last. */
  | {readonly kind: 'none'; readonly last: string | null};

const NO_LEADER: LeaderSearch = {kind: 'none', last: null};

/**
 * Creates the election logic. The platform chooses a router again whenever
 * routers join or leave, but a working leader is kept: each change of leader
 * costs half a second without slots and a new grant of all keys. The chosen
 * router starts a term only if it follows no leader that reaches the platform
 * and none answers at the last leader's address. It first asks deputies with
 * clearly more capacity: a leader with 0.27 cores was late with all its work
 * and forwarded requests that their callers had already abandoned.
 *
 * @example
 * ```ts
 * const election = createLeaderElection(cfg);
 * await election.runIfNeeded();
 * ```
 */
export function createLeaderElection(
  cfg: LeaderElectionConfig,
): LeaderElection {
  let isRunning = false;

  const hasWorkingLeader = (): boolean => {
    const ageMs = cfg.leaderContactAgeMs();
    if (ageMs === null) return false;
    return ageMs <= LOST_CONTACT_MS || cfg.sinceRestoreMs() < RESTORE_GRACE_MS;
  };

  const isNeeded = (): boolean =>
    (cfg.isChosen() || cfg.isSuccessor()) &&
    !cfg.isLeading() &&
    !hasWorkingLeader();

  const findLeader = async (): Promise<LeaderSearch> => {
    // A leader that is followed but doesn't work is replaced.
    if (cfg.leaderContactAgeMs() !== null) return NO_LEADER;
    const last = await cfg.readLastLeader();
    if (last.kind === 'failed') return {kind: 'unknown'};
    const {address} = last;
    if (address === null || address === cfg.self) return NO_LEADER;
    const mayLead = !cfg.isGone(address);
    if (mayLead && (await cfg.followAt(address))) return {kind: 'found'};
    return {kind: 'none', last: address};
  };

  const offerTo = async (address: string): Promise<boolean> => {
    const isLeader = await cfg.offerLeadership(address);
    cfg.emit('leading-offered', {to: address, leads: isLeader});
    if (isLeader) await cfg.followAt(address);
    return isLeader;
  };

  const elect = async (): Promise<void> => {
    const search = await findLeader();
    if (search.kind !== 'none' || !isNeeded()) return;
    cfg.emit('succession', {heardTouchMs: cfg.leaderContactAgeMs()});
    for (const {address, room} of cfg.deputies()) {
      const isBetter = cfg.isCutOff() || hasClearlyMoreCapacity(room, cfg.room);
      if (address === cfg.self || !isBetter) continue;
      if (await offerTo(address)) return;
    }
    // After a restart of all routers nobody knows the deputies, but the last
    // leader had the capacity, and has probably started again, too.
    const isFresh = !cfg.hasFollowed() && cfg.deputies().length === 0;
    if (isFresh && search.last !== null && (await offerTo(search.last))) return;
    if (isNeeded()) await cfg.startTerm();
  };

  return {
    async runIfNeeded() {
      if (isRunning || !isNeeded()) return;
      isRunning = true;
      // Reset even after an error; otherwise this router could never lead
      // again.
      await elect().finally(() => {
        isRunning = false;
      });
    },
    async handleOffer() {
      if (cfg.isLeading() || hasWorkingLeader()) return true;
      // Leases are granted and renewed by calls to the servers.
      if (cfg.isCutOff()) return false;
      return cfg.startTerm();
    },
  };
}
