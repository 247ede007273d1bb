import type {Clock} from '@banyandrum/base/clock.js';
import type {Backends} from '@banyandrum/dispatch/backends.js';
import type {ServerLimits} from '@banyandrum/dispatch/server-limits.js';
import type {ServerPaths} from '@banyandrum/dispatch/server-paths.js';
import {meanMs} from '@banyandrum/dispatch/server-cost.js';
import type {ListedServer} from '@banyandrum/ranges/leader-state.js';
import {UNKNOWN_KIND} from '@banyandrum/service-times/kind.js';
import type {TimeModel} from '@banyandrum/service-times/time-model.js';
import type {ServiceTimes} from './service-times.js';

/** What `listAssignableServers` reads. */
export interface AssignableServersConfig {
  readonly backends: Backends;
  readonly times: ServiceTimes;
  /** Replaces `times` for services that it knows; absent if not in use. */
  readonly requestTimes?: Pick<TimeModel, 'usualMs'> | undefined;
  readonly clock: Clock;
  readonly limits: Pick<ServerLimits, 'limitOf'>;
  readonly paths: Pick<ServerPaths, 'isOpen'>;
  /** Whether the server instance has provably terminated. */
  hasEnded(server: string): boolean;
}

/** Service time that is assumed until one was measured, in ms. */
const DEFAULT_SERVICE_MS = 300;

/** Lists the servers of `service` that may own keys, with their capacity. */
export function listAssignableServers(
  cfg: AssignableServersConfig,
  service: string,
): readonly ListedServer[] {
  const {backends, times, requestTimes, clock, limits, paths, hasEnded} = cfg;
  const listed = backends.ofService(service);
  const known = listed.map(({info}) => times.estimateMs(info.id, 0));
  const typicalMs = meanMs(known, DEFAULT_SERVICE_MS);
  return listed
    .filter(({info, isReplaced}) => !info.isLeaving && !isReplaced)
    .map(({info, ejectedUntil, evacuation}) => ({
      id: info.id,
      address: info.address,
      slots: info.slots,
      serviceMs: Math.max(
        requestTimes?.usualMs(service, UNKNOWN_KIND, info.id) ??
          times.estimateMs(info.id, typicalMs),
        limitedServiceMs(info.slots, limits.limitOf(info.id)),
      ),
      isOpen:
        evacuation === null &&
        ejectedUntil <= clock.now() &&
        // A lease call to it would not arrive either.
        paths.isOpen(info.id) &&
        !hasEnded(info.id),
      isEvacuated: evacuation !== null,
    }));
}

/** Service time per slot at which a server reaches its request limit, in ms. */
function limitedServiceMs(slots: number, perSecond: number | null): number {
  return perSecond === null ? 0 : (slots * 1_000) / perSecond;
}
