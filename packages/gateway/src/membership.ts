import {sleep, type Clock} from '@banyandrum/base/clock.js';
import type {Emit} from '@banyandrum/dispatch/events.js';
import type {Members, Membership} from './platform.js';
import {repeat} from './repeat.js';

/** Who the routers are, as the platform tells. */
export interface Routers {
  /** The name of the router that was chosen to lead; null if unknown. */
  chosen(): string | null;
  /** Whether this one is, by an answer that still counts. */
  isChosen(): boolean;
  /** Time since the question that the platform answered last, in ms. */
  touchMs(): number;
  /** Routers in touch with the platform, this one included. */
  count(): number;
  /**
   * Stops asking, and resolves once this router is taken out, or `goesOn`
   * says that it doesn't matter any more.
   */
  leave(goesOn: () => boolean): Promise<void>;
}

/** What following the membership needs. */
export interface RoutersConfig {
  readonly members: Members;
  readonly clock: Clock;
  readonly emit: Emit;
  /** Time that also passes while the host is suspended, in ms. */
  wakefulNow(): number;
  /** The platform answered whether this router is chosen. */
  onJoined(): void;
  /**
   * Whether the leader is heard: whom the platform chose doesn't matter then,
   * and a list at each change, at each router, was 324 of 1,046 calls on a
   * day of rolling restarts.
   */
  hearsLeader(): boolean;
  /**
   * Whether others stand ready to lead while the leader works: then this one
   * doesn't show itself, which cost three calls a second for each router.
   */
  isSpared(): boolean;
  /** Another router was chosen in place of this one. */
  onReplaced(): void;
}

/** A router shows that it's there this often, in ms. */
const JOIN_MS = 350;
/** An answer counts for this time, in ms: until the next two should be there. */
const CHOSEN_MS = 1_000;
/**
 * Routers are listed this often at the most where the leader is unknown, in ms:
 * while many of them come at once, each of their joins is news to all.
 */
const LIST_MS = 700;

/**
 * Takes part in the group of routers until it leaves.
 *
 * @example
 * ```ts
 * const routers = followRouters(cfg);
 * routers.leader();
 * ```
 */
export function followRouters(cfg: RoutersConfig): Routers {
  const {members, clock, emit} = cfg;
  let names: readonly string[] = [];
  let generation = -1;
  let listedAt = -Infinity;
  let isLeaving = false;
  let isInTouch = true;
  let isChosen = false;
  let answeredAt = -Infinity;

  const noteTouch = (membership: Membership | null): void => {
    const now = membership !== null;
    if (now === isInTouch) return;
    isInTouch = now;
    emit(now ? 'store-regained' : 'store-lost', {dependency: 'members'});
  };

  const list = async (): Promise<void> => {
    listedAt = clock.now();
    const listed = await members.list();
    if (listed === null) return;
    names = listed;
    emit('routers-listed', {
      generation,
      count: listed.length,
      leader: listed[0] ?? null,
    });
  };

  const join = async (): Promise<void> => {
    if (cfg.isSpared()) return;
    const askedAt = cfg.wakefulNow();
    const membership = await members.join();
    noteTouch(membership);
    if (membership === null || isLeaving) return;
    if (isChosen && !membership.isChosen) cfg.onReplaced();
    isChosen = membership.isChosen;
    answeredAt = askedAt;
    cfg.onJoined();
    if (cfg.hearsLeader()) return;
    if (clock.now() - listedAt < LIST_MS) return;
    if (membership.generation === generation && names.length > 0) return;
    generation = membership.generation;
    await list();
  };

  const goesOn = (): boolean => !isLeaving;
  repeat({clock, emit, name: 'members', pauseMs: JOIN_MS, goesOn}, join);

  return {
    chosen: () => names[0] ?? null,
    isChosen: () =>
      isChosen && !isLeaving && cfg.wakefulNow() - answeredAt < CHOSEN_MS,
    touchMs: () => cfg.wakefulNow() - answeredAt,
    count: () => Math.max(1, names.length),
    async leave(goesOn) {
      isLeaving = true;
      while (goesOn() && !(await members.leave())) {
        await sleep(clock, JOIN_MS);
      }
    },
  };
}
