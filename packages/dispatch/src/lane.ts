import type {SlotRequest, SlotReply} from './slots.js';

/** A request that waits for a place, or has one. */
export interface Waiter {
  readonly req: SlotRequest;
  readonly priority: number;
  readonly reply: (reply: SlotReply) => void;
  readonly requestedAt: number;
  /** Among those of one priority, the earliest goes first; monotonic, in ms. */
  readonly orderAt: number;
  /** Monotonic time from which its answer is worth less, in ms. */
  readonly onTimeUntil: number;
  /** Monotonic time from which its answer would come too late, in ms. */
  readonly expiresAt: number;
  grantedAt: number;
  server: string | null;
  /** Where it waits; null while it doesn't. */
  queue: WaitQueue | null;
}

/** Requests that wait for the same servers. */
export interface WaitQueue {
  readonly service: string;
  /**
   * The server that holds their keys; `NO_HOLDER` while nobody does, null where
   * any server of the service will do.
   */
  readonly owner: string | null;
  /** The most urgent first. */
  readonly levels: PriorityLevel[];
}

/** Those of one priority, by their turns. */
export interface PriorityLevel {
  readonly priority: number;
  readonly waiters: Waiter[];
}

/** Keys that are moving, or held by nobody. */
export const NO_OWNER = '';

/** Lets the waiter wait in the lane. */
export function enqueue(lane: WaitQueue, waiter: Waiter): void {
  waiter.queue = lane;
  const {waiters} = levelFor(lane, waiter.priority);
  waiters.splice(insertionIndex(waiters, waiter.orderAt), 0, waiter);
}

/** Takes the waiter out of its lane, if it waits at all. */
export function removeWaiter(waiter: Waiter): void {
  const {queue: lane, priority} = waiter;
  if (lane === null) return;
  waiter.queue = null;
  const {waiters} = levelFor(lane, priority);
  waiters.splice(waiters.indexOf(waiter), 1);
}

/** All that wait in the lane, the more urgent first. */
export function waitersIn({levels: ranks}: WaitQueue): readonly Waiter[] {
  return ranks.flatMap(({waiters}) => waiters);
}

/**
 * How many go before one that comes now: the more urgent, and of its own
 * priority those whose turn is earlier; all of these where it is late already.
 */
export function countAhead(
  {levels: ranks}: WaitQueue,
  {priority, onTimeUntil: aimAt, requestedAt: askedAt, orderAt: turnAt}: Waiter,
): number {
  let count = 0;
  for (const rank of ranks) {
    if (rank.priority > priority) break;
    const {waiters} = rank;
    const isBehindAll = rank.priority < priority || aimAt < askedAt;
    count += isBehindAll ? waiters.length : insertionIndex(waiters, turnAt);
  }
  return count;
}

/** How many wait in the lane. */
export function queueLength({levels: ranks}: WaitQueue): number {
  let count = 0;
  for (const {waiters} of ranks) count += waiters.length;
  return count;
}

/** Where one with this turn stands: behind those with the same, or an earlier. */
function insertionIndex(waiters: readonly Waiter[], turnAt: number): number {
  let from = 0;
  let to = waiters.length;
  while (from < to) {
    const middle = (from + to) >> 1;
    if (waiters[middle]!.orderAt <= turnAt) from = middle + 1;
    else to = middle;
  }
  return from;
}

function levelFor({levels: ranks}: WaitQueue, priority: number): PriorityLevel {
  const at = ranks.findIndex(rank => rank.priority >= priority);
  const known = ranks[at];
  if (known?.priority === priority) return known;
  const rank = {priority, waiters: []};
  ranks.splice(known === undefined ? ranks.length : at, 0, rank);
  return rank;
}
