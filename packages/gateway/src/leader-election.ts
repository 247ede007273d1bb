import type {Emit} from '@banyandrum/dispatch/events.js';
import type {LeaderRead} from '@banyandrum/ranges/ledger.js';
import {
  hasClearlyMoreCapacity,
  type Candidate,
  type HostCapacity,
} from './host-capacity.js';

/** What a router that the platform chose knows of whoever leads now. */
export interface LeaderElectionConfig {
  readonly emit: Emit;
  /** This router's own address for the others, `ip:port`. */
  readonly self: string;
  /** Whether the platform chose this router, as it said a moment ago. */
  isChosen(): boolean;
  isLeading(): boolean;
  /** Since a restore of the store was noticed here, in ms. */
  sinceRestoreMs(): number;
  /** Since when the leader that is heard had no answer of the platform, ms. */
  leaderContactAgeMs(): number | null;
  lastLeader(): Promise<LeaderRead>;
  /** Follows whoever leads at the address; false where nobody does. */
  followAt(address: string): Promise<boolean>;
  /** Who should lead, as the last leader told, the best first. */
  deputies(): readonly Candidate[];
  readonly room: HostCapacity;
  /** Asks the router at the address to lead; whether it does. */
  offerLeadership(address: string): Promise<boolean>;
  /** Begins a term; whether this router leads then. */
  startTerm(): Promise<boolean>;
}

/** Decides whether this router becomes the leader. */
export interface LeaderElection {
  /** Something may have changed: chosen, or the leader is heard no more. */
  runIfNeeded(): Promise<void>;
  /**
   * One that hears no leader asks this router to lead: whether anybody does
   * then. A leader that works is kept, though the other one can't reach it.
   */
  handleOffer(): Promise<boolean>;
}

/**
 * A leader that the platform hasn't answered for so long has lost it, in ms:
 * it can't record moves. Some joins without an answer in a row.
 */
const PLATFORM_CONTACT_TIMEOUT_MS = 2_000;
/**
 * After a restore of the store a leader that is heard has this time to come back
 * into touch with it, in ms: it alone knows who holds which keys.
 */
const RESTORE_GRACE_MS = 2_000;

/**
 * The platform chooses anew whenever routers come or go. A leader that works is
 * kept all the same: each change of leader costs half a second without places
 * and a grant of all keys. Whoever is chosen begins only where it hears no
 * leader that is in touch, and none answers at the last one's address; and it
 * asks those with clearly more room first. One of 0.27 cores that began itself
 * was late for everything it did, and sent on what its callers had given up.
 *
 * @example
 * ```ts
 * const succession = createSuccession(cfg);
 * await succession.consider();
 * ```
 */
export function createLeaderElection(
  cfg: LeaderElectionConfig,
): LeaderElection {
  let isRunning = false;

  const hasWorkingLeader = (): boolean => {
    const touchMs = cfg.leaderContactAgeMs();
    if (touchMs === null) return false;
    return (
      touchMs <= PLATFORM_CONTACT_TIMEOUT_MS ||
      cfg.sinceRestoreMs() < RESTORE_GRACE_MS
    );
  };

  const isNeeded = (): boolean =>
    cfg.isChosen() && !cfg.isLeading() && !hasWorkingLeader();

  const findLeader = async (): Promise<'found' | 'none' | 'unknown'> => {
    if (cfg.leaderContactAgeMs() !== null) return 'none';
    const last = await cfg.lastLeader();
    if (last.kind === 'failed') return 'unknown';
    if (last.address === null || last.address === cfg.self) return 'none';
    return (await cfg.followAt(last.address)) ? 'found' : 'none';
  };

  const elect = async (): Promise<void> => {
    if ((await findLeader()) !== 'none' || !isNeeded()) return;
    cfg.emit('succession', {heardTouchMs: cfg.leaderContactAgeMs()});
    for (const {address, room} of cfg.deputies()) {
      if (address === cfg.self || !hasClearlyMoreCapacity(room, cfg.room))
        continue;
      const leads = await cfg.offerLeadership(address);
      cfg.emit('leading-offered', {to: address, leads});
      if (leads) return void (await cfg.followAt(address));
    }
    if (isNeeded()) await cfg.startTerm();
  };

  return {
    async runIfNeeded() {
      if (isRunning || !isNeeded()) return;
      isRunning = true;
      // Left busy by a defect, it would never lead again.
      await elect().finally(() => {
        isRunning = false;
      });
    },
    async handleOffer() {
      if (cfg.isLeading() || hasWorkingLeader()) return true;
      return cfg.startTerm();
    },
  };
}
