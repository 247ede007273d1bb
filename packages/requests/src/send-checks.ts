import type {Location, Owned} from '@banyandrum/ownership/led-cell.js';
import type {Pending} from './pending.js';
import type {ServerQueue} from './server-queue.js';

/** Fraction of a lease that must remain for a request that outlives it. */
const LEASE_SHARE = 1 / 4;

/** Whether the server owns the shard. */
export function isAt(server: ServerQueue, where: Location): where is Owned {
  return where.kind === 'owned' && where.server.name === server.name;
}

/**
 * Whether too little of the lease remains to send the request. A request with a
 * later deadline would be aborted as the lease ends. Leases are normally renewed
 * long before, so waiting for the renewal is better.
 */
export function isLeaseShort(
  leftMs: number,
  leaseMs: number,
  outlives: boolean,
  serviceMs: number,
): boolean {
  if (leftMs <= 0) return true;
  return outlives && leftMs < Math.min(serviceMs, leaseMs * LEASE_SHARE);
}

/**
 * Whether the request can't finish by its deadline. With nothing in flight it
 * is sent anyway: otherwise a server that became faster would never be noticed.
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
