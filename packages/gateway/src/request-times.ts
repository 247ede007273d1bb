import type {Clock} from '@banyandrum/base/clock.js';
import type {Emit} from '@banyandrum/dispatch/events.js';
import type {LatencyProfile} from '@banyandrum/ranges/late-answers.js';
import type {RoutingConfig} from '@banyandrum/routing/config.js';
import {kindOf} from '@banyandrum/service-times/kind.js';
import {
  ANY_SERVER,
  createTimeModel,
  type ServerSlowness,
  type TimeModel,
} from '@banyandrum/service-times/time-model.js';
import {createLatencyProfiles} from './latency-profile.js';
import type {ServerList} from './server-list.js';
import type {SchedulingSettings} from './settings.js';

/** Usual time of a route's requests at a service. */
export interface RouteTime {
  readonly service: string;
  readonly route: string;
  /** At a server of mean speed, in ms. */
  readonly ms: number;
}

/** Times of requests by route and server, if the settings ask for them. */
export interface RequestTimes {
  /** The model for the parts that use it, to spread into their dependencies. */
  readonly part: {readonly times?: TimeModel};
  routeTimes(): readonly RouteTime[];
  servers(): readonly ServerSlowness[];
  /**
   * Mix and spread of the service's requests, the same object for a few seconds;
   * null if they aren't known.
   */
  profileOf(service: string): LatencyProfile | null;
  stop(): void;
}

/** Dependencies of `createRequestTimes`. */
export interface RequestTimesConfig {
  readonly clock: Clock;
  readonly emit: Emit;
  readonly mode: SchedulingSettings['requestTimes'];
  readonly list: Pick<ServerList, 'snapshot' | 'subscribe'>;
  /** Null until one is known. */
  config(): RoutingConfig | null;
  isLeading(): boolean;
}

/** Interval at which the model follows the configuration, in ms. */
const CONFIG_CHECK_MS = 1_000;
/** Interval between the reports of a leader, in ms. */
const REPORT_MS = 10_000;
/** Services that are reported, so that a report is at most so many lines. */
const MAX_REPORTED_SERVICES = 8;
/** Routes and servers named in one line. */
const MAX_REPORTED_ROUTES = 12;
const MAX_REPORTED_SERVERS = 5;

const OFF: RequestTimes = {
  part: {},
  routeTimes: () => [],
  servers: () => [],
  profileOf: () => null,
  stop: () => undefined,
};

/**
 * Keeps the times of requests by route and server. The model follows the list of
 * servers and the configuration, and a leader logs it every 10 s.
 *
 * @example
 * ```ts
 * const requestTimes = createRequestTimes(cfg);
 * createSlotAllocator({...slotsCfg, ...requestTimes.part});
 * ```
 */
export function createRequestTimes(cfg: RequestTimesConfig): RequestTimes {
  if (cfg.mode === 'per_service') return OFF;
  const {clock, list} = cfg;
  const model = createTimeModel({clock});
  /** The configuration that the model follows. */
  let followed: RoutingConfig | null = null;
  let reportAt = clock.now() + REPORT_MS;

  const retainKnown = (): void => {
    const listed = list.snapshot();
    if (listed === null || followed === null) return;
    model.retain({
      servers: new Set(listed.servers.map(({id}) => id)),
      services: new Set(followed.services.keys()),
      kinds: new Set(routeNames(followed).map(kindOf)),
    });
  };

  const routeTimes = (): readonly RouteTime[] => {
    const config = cfg.config();
    return config === null ? [] : routeTimesOf(model, config);
  };

  const check = (): void => {
    const config = cfg.config();
    if (config !== followed) {
      followed = config;
      retainKnown();
    }
    if (clock.now() >= reportAt) {
      reportAt += REPORT_MS;
      if (cfg.isLeading()) report(cfg.emit, routeTimes(), model);
    }
    cancel = clock.after(CONFIG_CHECK_MS, check);
  };
  let cancel = clock.after(CONFIG_CHECK_MS, check);
  list.subscribe(retainKnown);

  return {
    part: {times: model},
    routeTimes,
    servers: model.servers,
    profileOf: createLatencyProfiles({clock, model, config: cfg.config}),
    stop: () => cancel(),
  };
}

/** Names of all routes; those of several hosts may be the same. */
function routeNames({hosts}: RoutingConfig): readonly string[] {
  const names = new Set<string>();
  for (const routes of hosts.values()) {
    for (const {name} of routes.values()) names.add(name);
  }
  return [...names];
}

function routeTimesOf(
  model: TimeModel,
  config: RoutingConfig,
): readonly RouteTime[] {
  const nameOf = new Map(routeNames(config).map(name => [kindOf(name), name]));
  return model.services().flatMap(service =>
    (model.profile(service)?.kinds ?? []).flatMap(({kind}) => {
      const route = nameOf.get(kind);
      const ms = model.usualMs(service, kind, ANY_SERVER);
      return route === undefined || ms === null ? [] : [{service, route, ms}];
    }),
  );
}

/** Logs one line for each of the first services. */
function report(
  emit: Emit,
  times: readonly RouteTime[],
  model: TimeModel,
): void {
  const servers = model.servers();
  for (const service of model.services().slice(0, MAX_REPORTED_SERVICES)) {
    const routes = times.filter(each => each.service === service);
    const sorted = servers
      .filter(each => each.service === service)
      .sort((a, b) => b.slowness - a.slowness);
    emit('request-times', {
      service,
      routes: routes
        .slice(0, MAX_REPORTED_ROUTES)
        .map(({route, ms}) => `${route}:${Math.round(ms)}`)
        .join(' '),
      servers: sorted.length,
      slowest: formatServers(sorted.slice(0, MAX_REPORTED_SERVERS)),
      fastest: formatServers(sorted.slice(-MAX_REPORTED_SERVERS).reverse()),
    });
  }
}

function formatServers(servers: readonly ServerSlowness[]): string {
  return servers
    .map(({server, slowness}) => `${server}:${slowness.toFixed(2)}`)
    .join(' ');
}
