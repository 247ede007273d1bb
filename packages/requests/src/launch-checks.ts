import type {Location, Owned} from '@banyandrum/ownership/led-cell.js';
import type {Pending} from './pending.js';
import type {ServerQueue} from './server-queue.js';

/** Part of a lease that must be left for a request that outlives it. */
const SHORT_LEASE = 1 / 4;

/** Whether the server owns the place. */
export function isAt(server: ServerQueue, where: Location): where is Owned {
  return where.kind === 'owned' && where.server.name === server.name;
}

/**
 * Whether too little is left of the lease to send the request. One whose
 * deadline lies beyond the lease's end would be cut there; a healthy lease is
 * renewed long before, so it is worth waiting for the renewal.
 */
export function isLeaseShort(
  leftMs: number,
  leaseMs: number,
  outlives: boolean,
  serviceMs: number,
): boolean {
  if (leftMs <= 0) return true;
  return outlives && leftMs < Math.min(serviceMs, leaseMs * SHORT_LEASE);
}

/**
 * Whether the request can't finish by its deadline any more. With nothing in
 * flight it is sent all the same: without a trial the server would never be
 * seen to have become faster.
 */
export function isTooLate(
  server: ServerQueue,
  {level, req}: Pending,
  now: number,
): boolean {
  const left = req.deadline - now;
  if (left <= 0) return true;
  return server.slots.inFlight() > 0 && left < server.lowMs(level);
}
