import {hashFnv1a} from '@banyandrum/base/fnv1a.js';
import {
  pickLargestHost,
  type Candidate,
  type HostCapacity,
} from './host-capacity.js';

/** A follower that may lead in the leader's place. */
export interface Successor extends Candidate {
  /** Servers that it can't reach although others can. */
  readonly unreachable: number;
  /** Monotonic time of the last answer to one of its requests, in ms. */
  readonly answeredAt: number;
}

/** What the leader compares its followers with. */
export interface LeaderPosition {
  readonly room: HostCapacity;
  readonly unreachable: number;
  /** Monotonic time since which it can't reach some servers, in ms; or null. */
  readonly unreachableSince: number | null;
  readonly now: number;
}

/**
 * The lead moves if the leader can't reach this many servers: a single one may
 * just be slow to open connections.
 */
const MIN_UNREACHABLE = 2;
/** The lead moves once that has lasted for this long, in ms. */
const MIN_CUT_MS = 400;
/**
 * Until then, followers without an answer since the leader was cut off aren't
 * chosen, in ms: they may be cut off as well, and not know it yet.
 */
const UNPROVED_AFTER_MS = 1_500;

/**
 * Picks the router that should lead instead: one that reaches servers which the
 * leader can't reach, or else one with clearly more capacity. Null if the leader
 * should go on.
 *
 * @example
 * ```ts
 * const successor = pickSuccessor(position, followers);
 * ```
 */
export function pickSuccessor<T extends Successor>(
  leader: LeaderPosition,
  followers: Iterable<T>,
): T | null {
  const {room, unreachable, unreachableSince, now} = leader;
  const others = [...followers];
  if (unreachable < MIN_UNREACHABLE) {
    const reaching = others.filter(each => each.unreachable <= unreachable);
    return pickLargestHost(room, reaching);
  }
  const since = unreachableSince ?? now;
  if (now - since < MIN_CUT_MS) return null;
  const proved = others.filter(
    each => each.unreachable === 0 && each.answeredAt > since,
  );
  if (proved.length > 0) return largest(proved);
  if (now - since < UNPROVED_AFTER_MS) return null;
  const better = others.filter(each => each.unreachable * 2 < unreachable);
  return largest(better);
}

function largest<T extends Successor>(candidates: readonly T[]): T | null {
  const rank = ({unreachable, room}: T): number =>
    room.processors / (1 + unreachable);
  return candidates.reduce<T | null>(
    (best, each) => (best === null || rank(each) > rank(best) ? each : best),
    null,
  );
}

/** Routers that are named to carry the attempts of one other. */
const MAX_CARRIERS = 4;
/** Of these, at most so many in its own data centre, which may be cut off whole. */
const MAX_NEAR_CARRIERS = 2;

/** A router that may carry attempts. */
export type CarrierCandidate = Pick<
  Successor,
  'address' | 'dataCentre' | 'unreachable'
>;

/**
 * Picks the routers that should carry attempts for `router`, the nearest first.
 * Different routers get different carriers, which spreads the load.
 *
 * @example
 * ```ts
 * const addresses = pickCarriers(follower, [leader, ...followers]);
 * ```
 */
export function pickCarriers(
  router: CarrierCandidate,
  candidates: Iterable<CarrierCandidate>,
): readonly string[] {
  const able = [...candidates].filter(
    ({address, unreachable}) =>
      address !== router.address && unreachable < router.unreachable,
  );
  const least = Math.min(...able.map(({unreachable}) => unreachable));
  const best = able
    .filter(({unreachable}) => unreachable === least)
    .map(each => ({
      each,
      weight: weightOf(router.address, each.address),
    }))
    .sort((a, b) => b.weight - a.weight)
    .map(({each}) => each);
  const near = best.filter(each => each.dataCentre === router.dataCentre);
  const far = best.filter(each => each.dataCentre !== router.dataCentre);
  const named = [
    ...near.slice(0, MAX_NEAR_CARRIERS),
    ...far,
    ...near.slice(MAX_NEAR_CARRIERS),
  ];
  return named.slice(0, MAX_CARRIERS).map(({address}) => address);
}

/** A factor of MurmurHash3's finalizer, which spreads the last characters. */
const MURMUR_FACTOR = 0x85ebca6b;

/** Orders candidates differently for each router (rendezvous hashing). */
function weightOf(router: string, candidate: string): number {
  let hash = hashFnv1a(`${candidate} ${router}`);
  hash = Math.imul(hash ^ (hash >>> 16), MURMUR_FACTOR);
  return (hash ^ (hash >>> 13)) >>> 0;
}
