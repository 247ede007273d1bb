import {grantLease} from './grant-lease.js';
import {toEventFields, type LeaderState} from './leader-state.js';

/**
 * Minimum time between two grants for the same range, in ms. It bounds the
 * calls to a server that accepts grants and rejects the keys all the same.
 */
const MIN_GRANT_INTERVAL_MS = 200;

/**
 * Grants a range anew if its server lost the lease early. That happens after
 * the routers had no leader for longer than a lease, or if the server's clock
 * runs fast. Requests wait for the grant meanwhile: at the server they would be
 * rejected until the next renewal.
 */
export function regrantLease(
  leader: LeaderState,
  key: number,
  server: string,
  sentAt: number,
): void {
  const lease = leader.leases.find(
    ({assignment: {from, to}}) => from <= key && key <= to,
  );
  if (lease === undefined || lease.assignment.server !== server) return;
  if (lease.source !== 'recorded' || lease.phase !== 'held') return;
  if (!lease.isServed) return;
  // The answer may be older than the last grant.
  if (lease.grantedAt > sentAt) return;
  lease.isServed = false;
  leader.emit('range-lost', toEventFields(lease.assignment));
  leader.onWithdrawn();
  const mayGrantAt = lease.grantedAt + MIN_GRANT_INTERVAL_MS;
  if (leader.clock.now() >= mayGrantAt) void grantLease(leader, lease);
  else lease.renewAt = mayGrantAt;
}
