import type {Clock} from '@banyandrum/base/clock.js';
import type {AskHealth} from '@banyandrum/dispatch/ask-health.js';
import type {Backends} from '@banyandrum/dispatch/backends.js';
import {
  createColdLimits,
  type ColdLimits,
} from '@banyandrum/dispatch/cold-limits.js';
import type {Emit} from '@banyandrum/dispatch/events.js';
import type {WireNames} from '@banyandrum/dispatch/wire.js';
import type {ServiceConfig} from '@banyandrum/routing/config.js';
import {createColdCheck, type ColdCheck} from './cold-check.js';
import {listReadIntervalMs, MIN_INTERVAL_MS} from './list-read-interval.js';
import type {ServerList} from './server-list.js';

/**
 * What is known of cold servers, and the limits that follow from it. A server that is
 * being asked whether it is cold gets no requests until it has answered.
 */
export interface ColdServers {
  readonly limits: ColdLimits;
  readonly check: ColdCheck;
  /** Interval at which the list has to be read, in ms. */
  listReadMs(): number;
}

/** Dependencies of `createColdServers`. */
export interface ColdServersConfig {
  readonly clock: Clock;
  readonly emit: Emit;
  readonly names: WireNames;
  readonly backends: Backends;
  readonly list: Pick<ServerList, 'coldKnownAt' | 'noteCold' | 'noteWarm'>;
  serviceConfig(service: string): ServiceConfig | undefined;
  readonly askHealth: AskHealth;
  /** Number of routers that send requests without a leader; 1 if there is one. */
  senders(): number;
}

/**
 * Creates the limits on requests to cold servers, and the check that asks servers
 * while the list can't be read.
 *
 * @example
 * ```ts
 * const cold = createColdServers({clock, emit, names, backends, list, ...rest});
 * const requestLimits = combineLimits(serverLimits, cold.limits);
 * ```
 */
export function createColdServers(cfg: ColdServersConfig): ColdServers {
  const {clock, emit, names, backends, list, serviceConfig, senders} = cfg;
  const knownAt = list.coldKnownAt;
  const coldPerSecondOf = (service: string): number | null =>
    serviceConfig(service)?.coldPerSecond ?? null;
  let readMs = 0;
  let readMsAt = -Infinity;
  // Computed from all servers, and needed for many requests while the list is late.
  const listReadMs = (): number => {
    const now = clock.now();
    if (now - readMsAt < MIN_INTERVAL_MS) return readMs;
    readMsAt = now;
    readMs = listReadIntervalMs({backends: backends.all(), coldPerSecondOf});
    return readMs;
  };
  const limits = createColdLimits({
    ...{clock, emit, backends, coldPerSecondOf, knownAt},
    coldMsOf: service => serviceConfig(service)?.coldMs ?? 0,
  });
  const check = createColdCheck({
    ...{clock, names, serviceConfig, listReadMs, knownAt, senders},
    askHealth: cfg.askHealth,
    noteCold: list.noteCold,
    noteWarm: list.noteWarm,
  });
  const noteRequest = (server: string): void => {
    const backend = backends.get(server);
    if (backend !== undefined) check.noteRequest(backend);
  };

  return {
    limits: {
      ...limits,
      hasToken: server => limits.hasToken(server) && !check.isAwaited(server),
      takeToken(server) {
        limits.takeToken(server);
        noteRequest(server);
      },
      takeShareToken(server, routerCount) {
        if (check.isAwaited(server)) return false;
        if (!limits.takeShareToken(server, routerCount)) return false;
        noteRequest(server);
        return true;
      },
    },
    check,
    listReadMs,
  };
}
