import type {SlotRequest, SlotReply} from '@banyandrum/dispatch/slots.js';

/** A request that waits for a slot, or has one. */
export interface Waiter {
  readonly req: SlotRequest;
  readonly priority: number;
  readonly reply: (reply: SlotReply) => void;
  /** Monotonic time at which it requested a slot, in ms. */
  readonly requestedAt: number;
  /**
   * Position among requests of equal priority and turn, lowest first; monotonic,
   * in ms.
   */
  readonly orderAt: number;
  /**
   * Turn among requests of equal priority, lowest first; 0 if the queue isn't
   * fair by caller and key.
   */
  turn: number;
  /** Latest start time that meets the target latency, monotonic, in ms. */
  readonly onTimeUntil: number;
  /** Latest start time that leaves enough time to the deadline, in ms. */
  readonly expiresAt: number;
  /** Monotonic time at which it received a slot, in ms; 0 before. */
  grantedAt: number;
  /** Id of the server of its slot; null if it has none. */
  server: string | null;
  /** Queue in which it waits; null if it doesn't wait. */
  queue: WaitQueue | null;
}

/** Requests that wait for slots at the same servers. */
export interface WaitQueue {
  readonly service: string;
  /**
   * Id of the server that owns their keys; `NO_OWNER` if there is none, null if
   * any server of the service may run them.
   */
  readonly owner: string | null;
  /** Ordered by priority, highest first. */
  readonly levels: PriorityLevel[];
}

/** Requests of one priority, ordered by `turn` and `orderAt`. */
export interface PriorityLevel {
  readonly priority: number;
  readonly waiters: Waiter[];
}

/** `WaitQueue.owner` of keys that are being moved or have no owner. */
export const NO_OWNER = '';

/** Adds the waiter to the queue. */
export function enqueue(queue: WaitQueue, waiter: Waiter): void {
  waiter.queue = queue;
  const {waiters} = levelFor(queue, waiter.priority);
  waiters.splice(insertionIndex(waiters, waiter), 0, waiter);
}

/** Removes the waiter from its queue, if it is in one. */
export function removeWaiter(waiter: Waiter): void {
  const {queue, priority} = waiter;
  if (queue === null) return;
  waiter.queue = null;
  const {waiters} = levelFor(queue, priority);
  waiters.splice(waiters.indexOf(waiter), 1);
}

/** Returns the waiters in the queue, ordered by priority. */
export function waitersIn({levels}: WaitQueue): readonly Waiter[] {
  return levels.flatMap(({waiters}) => waiters);
}

/**
 * Counts the waiters that precede a new one: those of higher priority, and
 * those of equal priority with a lower or equal turn and `orderAt`, or all of
 * them if the new one can no longer meet its target latency.
 */
export function countAhead({levels}: WaitQueue, waiter: Waiter): number {
  const {priority, onTimeUntil, requestedAt} = waiter;
  let count = 0;
  for (const level of levels) {
    if (level.priority > priority) break;
    const {waiters} = level;
    const isBehindAll = level.priority < priority || onTimeUntil < requestedAt;
    count += isBehindAll ? waiters.length : insertionIndex(waiters, waiter);
  }
  return count;
}

/** Number of waiters in the queue. */
export function queueLength({levels}: WaitQueue): number {
  let count = 0;
  for (const {waiters} of levels) count += waiters.length;
  return count;
}

/** Index at which to insert a waiter: after those of equal order. */
function insertionIndex(
  waiters: readonly Waiter[],
  {turn, orderAt}: Waiter,
): number {
  const isAhead = (other: Waiter): boolean =>
    other.turn < turn || (other.turn === turn && other.orderAt <= orderAt);
  let from = 0;
  let to = waiters.length;
  while (from < to) {
    const middle = (from + to) >> 1;
    if (isAhead(waiters[middle]!)) from = middle + 1;
    else to = middle;
  }
  return from;
}

function levelFor({levels}: WaitQueue, priority: number): PriorityLevel {
  const at = levels.findIndex(level => level.priority >= priority);
  const known = levels[at];
  if (known?.priority === priority) return known;
  const level = {priority, waiters: []};
  levels.splice(known === undefined ? levels.length : at, 0, level);
  return level;
}
