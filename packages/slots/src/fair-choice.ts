import type {Capacity} from './capacity-cache.js';
import type {PriorityLevel, Waiter, WaitQueue} from './wait-queue.js';

/**
 * Returns the next request to serve: of those that can still meet their target
 * latency, the first by priority and turn; if there is none, the one that its
 * caller has been sending for the longest time. Null if all are skipped.
 *
 * @example
 * ```ts
 * const waiter = nextFairWaiter(queue, skipped, clock.now());
 * ```
 */
export function nextFairWaiter(
  {levels}: WaitQueue,
  skipped: ReadonlySet<Waiter>,
  now: number,
): Waiter | null {
  let oldest: Waiter | null = null;
  for (const {waiters} of levels) {
    for (const waiter of waiters) {
      if (skipped.has(waiter)) continue;
      if (waiter.onTimeUntil >= now) return waiter;
      if (oldest === null || firstAskedAt(waiter) < firstAskedAt(oldest))
        oldest = waiter;
    }
  }
  return oldest;
}

/**
 * Returns the requests that can no longer be served in time, as requests with
 * earlier turns arrived after them. These are the last ones of the most
 * demanding callers and keys.
 *
 * @example
 * ```ts
 * for (const waiter of findDisplaced(queue, capacity, now)) refuse(waiter);
 * ```
 */
export function findDisplaced(
  {levels}: WaitQueue,
  capacity: Capacity,
  now: number,
): readonly Waiter[] {
  const displaced: Waiter[] = [];
  let ahead = 0;
  for (const level of levels) {
    ahead += collectDisplaced(level, capacity, now, ahead, displaced);
  }
  return displaced;
}

/** Returns the number of the level's requests that can be served in time. */
function collectDisplaced(
  {waiters}: PriorityLevel,
  {slots, serviceMs}: Capacity,
  now: number,
  ahead: number,
  displaced: Waiter[],
): number {
  let served = 0;
  for (const waiter of waiters) {
    // Others in the queue decide whether requests past their target are served.
    if (waiter.onTimeUntil < now) continue;
    const waitMs = ((ahead + served + 1) / (slots || 1)) * serviceMs;
    // The load of a few slots varies by one service time by chance.
    const canWait = now + waitMs <= waiter.onTimeUntil || waitMs <= serviceMs;
    if (canWait) served++;
    else displaced.push(waiter);
  }
  return served;
}

function firstAskedAt({req, requestedAt}: Waiter): number {
  return requestedAt - req.askedMs;
}
