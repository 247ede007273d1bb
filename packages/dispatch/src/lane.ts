import type {PlaceAsk, PlaceReply} from './places.js';

/** A request that waits for a place, or has one. */
export interface Waiter {
  readonly ask: PlaceAsk;
  readonly priority: number;
  readonly reply: (reply: PlaceReply) => void;
  readonly askedAt: number;
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
  /** The most urgent first; those of one priority as they came. */
  readonly ranks: Rank[];
}

/** Those of one priority. */
export interface Rank {
  readonly priority: number;
  readonly waiters: Waiter[];
}

/** Keys that are moving, or held by nobody. */
export const NO_HOLDER = '';

/** Lets the waiter wait in the lane. */
export function join(lane: Lane, waiter: Waiter): void {
  waiter.lane = lane;
  rankOf(lane, waiter.priority).waiters.push(waiter);
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

/** How many go before one that comes now. */
export function countAhead({ranks}: Lane, priority: number): number {
  let count = 0;
  for (const rank of ranks) {
    if (rank.priority > priority) break;
    count += rank.waiters.length;
  }
  return count;
}

/** How many wait in the lane. */
export function countIn(lane: Lane): number {
  return countAhead(lane, Infinity);
}

function rankOf({ranks}: Lane, priority: number): Rank {
  const at = ranks.findIndex(rank => rank.priority >= priority);
  const known = ranks[at];
  if (known?.priority === priority) return known;
  const rank = {priority, waiters: []};
  ranks.splice(known === undefined ? ranks.length : at, 0, rank);
  return rank;
}
