import type {Clock} from '@banyandrum/base/clock.js';
import type {Backends} from '@banyandrum/dispatch/backends.js';
import type {ServerLimits} from '@banyandrum/dispatch/server-limits.js';
import {meanMs} from '@banyandrum/dispatch/server-cost.js';
import type {ListedServer} from '@banyandrum/ranges/lead-state.js';
import type {ServiceTimes} from './service-times.js';

/** What the servers of a keyed service are known by. */
export interface LedServersConfig {
  readonly backends: Backends;
  readonly times: ServiceTimes;
  readonly clock: Clock;
  readonly limits: Pick<ServerLimits, 'limitOf'>;
  /** Whether the run of a server has provably ended. */
  hasEnded(server: string): boolean;
}

/** Before anything was measured, in ms. */
const DEFAULT_SERVICE_MS = 300;

/** The servers of `service` that may hold keys, as placement sees them. */
export function ledServers(
  {backends, times, clock, limits, hasEnded}: LedServersConfig,
  service: string,
): readonly ListedServer[] {
  const listed = backends.ofService(service);
  const known = listed.map(({info}) => times.of(info.id, 0));
  const typical = meanMs(known, DEFAULT_SERVICE_MS);
  return listed
    .filter(({info, isGone}) => !info.isLeaving && !isGone)
    .map(({info, suspectUntil}) => ({
      id: info.id,
      address: info.address,
      slots: info.slots,
      serviceMs: Math.max(
        times.of(info.id, typical),
        limitedServiceMs(info.slots, limits.limitOf(info.id)),
      ),
      isOpen: suspectUntil <= clock.now() && !hasEnded(info.id),
    }));
}

/** Service time per slot at which the server reaches its limit, in ms. */
function limitedServiceMs(slots: number, perSecond: number | null): number {
  return perSecond === null ? 0 : (slots * 1_000) / perSecond;
}
