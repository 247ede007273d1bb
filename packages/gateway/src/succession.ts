import type {Emit} from '@banyandrum/dispatch/events.js';
import type {LeaderRead} from '@banyandrum/ranges/ledger.js';
import {hasMoreRoom, type Candidate, type Room} from './room.js';

/** What a router that the platform chose knows of whoever leads now. */
export interface SuccessionConfig {
  readonly emit: Emit;
  /** This router's own address for the others, `ip:port`. */
  readonly self: string;
  /** Whether the platform chose this router, as it said a moment ago. */
  isChosen(): boolean;
  isLeading(): boolean;
  /** Since a restore of the store was noticed here, in ms. */
  restoredMs(): number;
  /** Since when the leader that is heard had no answer of the platform, ms. */
  heardLeaderTouchMs(): number | null;
  lastLeader(): Promise<LeaderRead>;
  /** Follows whoever leads at the address; false where nobody does. */
  reach(address: string): Promise<boolean>;
  /** Who should lead, as the last leader told, the best first. */
  deputies(): readonly Candidate[];
  readonly room: Room;
  /** Asks the router at the address to lead; whether it does. */
  offer(address: string): Promise<boolean>;
  /** Begins a term; whether this router leads then. */
  begin(): Promise<boolean>;
}

/** Decides whether this router becomes the leader. */
export interface Succession {
  /** Something may have changed: chosen, or the leader is heard no more. */
  consider(): Promise<void>;
  /**
   * One that hears no leader asks this router to lead: whether anybody does
   * then. A leader that works is kept, though the other one can't reach it.
   */
  answer(): Promise<boolean>;
}

/**
 * A leader that the platform hasn't answered for so long has lost it, in ms:
 * it can't record moves. Some joins without an answer in a row.
 */
const OUT_OF_TOUCH_MS = 2_000;
/**
 * After a restore of the store a leader that is heard has this time to come back
 * into touch with it, in ms: it alone knows who holds which keys.
 */
const RESTORED_MS = 2_000;

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
export function createSuccession(cfg: SuccessionConfig): Succession {
  let isBusy = false;

  const hearsWorking = (): boolean => {
    const touchMs = cfg.heardLeaderTouchMs();
    if (touchMs === null) return false;
    return touchMs <= OUT_OF_TOUCH_MS || cfg.restoredMs() < RESTORED_MS;
  };

  const isNeeded = (): boolean =>
    cfg.isChosen() && !cfg.isLeading() && !hearsWorking();

  const findLeader = async (): Promise<'found' | 'none' | 'unknown'> => {
    if (cfg.heardLeaderTouchMs() !== null) return 'none';
    const last = await cfg.lastLeader();
    if (last.kind === 'failed') return 'unknown';
    if (last.address === null || last.address === cfg.self) return 'none';
    return (await cfg.reach(last.address)) ? 'found' : 'none';
  };

  const succeed = async (): Promise<void> => {
    if ((await findLeader()) !== 'none' || !isNeeded()) return;
    cfg.emit('succession', {heardTouchMs: cfg.heardLeaderTouchMs()});
    for (const {address, room} of cfg.deputies()) {
      if (address === cfg.self || !hasMoreRoom(room, cfg.room)) continue;
      const leads = await cfg.offer(address);
      cfg.emit('leading-offered', {to: address, leads});
      if (leads) return void (await cfg.reach(address));
    }
    if (isNeeded()) await cfg.begin();
  };

  return {
    async consider() {
      if (isBusy || !isNeeded()) return;
      isBusy = true;
      // Left busy by a defect, it would never lead again.
      await succeed().finally(() => {
        isBusy = false;
      });
    },
    async answer() {
      if (cfg.isLeading() || hearsWorking()) return true;
      return cfg.begin();
    },
  };
}
