import type {PlaceAsk, PlaceReply} from './places.js';

/** A request that waits for a place, or has one. */
export interface Waiter {
  readonly ask: PlaceAsk;
  readonly priority: number;
  readonly reply: (reply: PlaceReply) => void;
  readonly askedAt: number;
  /** Among those of one priority, the earliest goes first; monotonic, in ms. */
  readonly turnAt: number;
  /** Monotonic time from which its answer is worth less, in ms. */
  readonly aimAt: number;
  /** Monotonic time from which its answer would come too late, in ms. */
  readonly endsAt: number;
  grantedAt: number;
  server: string | null;
  /** Where it waits; null while it doesn't. */
  lane: Lane | null;
}

/** Requests that wait for the same servers. */
export interface Lane {
  readonly service: string;
  /**
   * The server that holds their keys; `NO_HOLDER` while nobody does, null where
   * any server of the service will do.
   */
  readonly holder: string | null;
  /** The most urgent first. */
  readonly ranks: Rank[];
}

/** Those of one priority, by their turns. */
export interface Rank {
  readonly priority: number;
  readonly waiters: Waiter[];
}

/** Keys that are moving, or held by nobody. */
export const NO_HOLDER = '';

/** Lets the waiter wait in the lane. */
export function join(lane: Lane, waiter: Waiter): void {
  waiter.lane = lane;
  const {waiters} = rankOf(lane, waiter.priority);
  waiters.splice(placeOf(waiters, waiter.turnAt), 0, waiter);
}

/** Takes the waiter out of its lane, if it waits at all. */
export function leave(waiter: Waiter): void {
  const {lane, priority} = waiter;
  if (lane === null) return;
  waiter.lane = null;
  const {waiters} = rankOf(lane, priority);
  waiters.splice(waiters.indexOf(waiter), 1);
}

/** All that wait in the lane, the more urgent first. */
export function waitersIn({ranks}: Lane): readonly Waiter[] {
  return ranks.flatMap(({waiters}) => waiters);
}

/**
 * How many go before one that comes now: the more urgent, and of its own
 * priority those whose turn is earlier; all of these where it is late already.
 */
export function countAhead(
  {ranks}: Lane,
  {priority, aimAt, askedAt, turnAt}: Waiter,
): number {
  let count = 0;
  for (const rank of ranks) {
    if (rank.priority > priority) break;
    const {waiters} = rank;
    const isBehindAll = rank.priority < priority || aimAt < askedAt;
    count += isBehindAll ? waiters.length : placeOf(waiters, turnAt);
  }
  return count;
}

/** How many wait in the lane. */
export function countIn({ranks}: Lane): number {
  let count = 0;
  for (const {waiters} of ranks) count += waiters.length;
  return count;
}

/** Where one with this turn stands: behind those with the same, or an earlier. */
function placeOf(waiters: readonly Waiter[], turnAt: number): number {
  let from = 0;
  let to = waiters.length;
  while (from < to) {
    const middle = (from + to) >> 1;
    if (waiters[middle]!.turnAt <= turnAt) from = middle + 1;
    else to = middle;
  }
  return from;
}

function rankOf({ranks}: Lane, priority: number): Rank {
  const at = ranks.findIndex(rank => rank.priority >= priority);
  const known = ranks[at];
  if (known?.priority === priority) return known;
  const rank = {priority, waiters: []};
  ranks.splice(known === undefined ? ranks.length : at, 0, rank);
  return rank;
}
