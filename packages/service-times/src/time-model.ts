import type {Clock} from '@banyandrum/base/clock.js';
import {UNKNOWN_KIND} from './kind.js';
import {
  addToMean,
  createMovingMean,
  shrunkMean,
  type MovingMean,
} from './moving-mean.js';
import {hasNews, type Published} from './published.js';
import {expectedSlowdown, slowdownDuring} from './slowdown.js';
import type {KindRow, ServerRow, ServiceRow, TimeRow} from './time-row.js';
import {
  createKind,
  createServer,
  createService,
  levelOf,
  seenAt,
  toKindRow,
  toServerRow,
  toServiceRow,
  usualFactor,
  type ServerState,
  type ServiceState,
} from './time-state.js';

/** Measured time of one answered request. */
export interface TimeSample {
  readonly service: string;
  /** Hash of the route's name; `UNKNOWN_KIND` if the route is unknown. */
  readonly kind: number;
  /** Id of the server instance. */
  readonly server: string;
  /** Time at the server, without queueing, in ms. */
  readonly tookMs: number;
  /** Slowdown that the answer reported, 1 is usual; null if it didn't. */
  readonly slowdown: number | null;
}

/** Mix of the kinds of a service's requests and the spread of their times. */
export interface ServiceProfile {
  readonly kinds: readonly KindShare[];
  /** Equally probable quantiles of measured time / usual time, in order. */
  readonly spread: readonly number[];
}

/** Share of a kind among the requests of a service. */
export interface KindShare {
  readonly kind: number;
  readonly share: number;
  /** Work on a server of mean speed without slowdown, in ms. */
  readonly workMs: number;
}

/** What a model may keep rows of. */
export interface KnownNames {
  readonly servers: ReadonlySet<string>;
  readonly services: ReadonlySet<string>;
  readonly kinds: ReadonlySet<number>;
}

/** What is known of a server, for operators. */
export interface ServerSlowness {
  readonly server: string;
  readonly service: string;
  /** Usual time relative to the service's mean. */
  readonly slowness: number;
}

/** Estimates service times; learns them from answers. */
export interface TimeModel {
  record(sample: TimeSample): void;
  /**
   * Expected time of a request that is sent now, in ms; null if nothing is known
   * of the service.
   */
  expectedMs(service: string, kind: number, server: string): number | null;
  /** Expected time without knowledge of the present slowdown, in ms. */
  usualMs(service: string, kind: number, server: string): number | null;
  /** Usual time on the server relative to its service's mean; 1 if unknown. */
  slowness(server: string): number;
  /** Mix of kinds and spread of times; null with too few samples. */
  profile(service: string): ServiceProfile | null;
  /** Services with samples. */
  services(): readonly string[];
  /** Servers with samples. */
  servers(): readonly ServerSlowness[];
  /** Increases with each change that other routers should learn. */
  revision(): number;
  /** Rows that have changed since that revision; all without it. */
  rows(since?: number): readonly TimeRow[];
  /** Takes rows of another model, unless it knows clearly more itself. */
  merge(rows: readonly TimeRow[]): void;
  /** Drops all rows of other names, and ignores these from now on. */
  retain(known: KnownNames): void;
}

/** Dependencies of the model. */
export interface TimeModelConfig {
  readonly clock: Clock;
}

/** `server` of a request whose server isn't known yet. */
export const ANY_SERVER = '';

/**
 * Weights of the means, in samples: that of the work is long as it doesn't
 * change; that of a server shorter as it changes seldom. With times that vary by
 * half, 60 samples leave an error of 5 %.
 */
const WORK_SAMPLES = 200;
const SERVER_SAMPLES = 60;
const SLOWDOWN_SAMPLES = 100;
/** Weights of the priors, in samples. */
const WORK_PRIOR_SAMPLES = 3;
const SERVER_PRIOR_SAMPLES = 3;
const SLOWDOWN_PRIOR_SAMPLES = 5;
/** Samples of a service below which it has no profile. */
const MIN_PROFILE_SAMPLES = 50;
/** Rows of kinds and services are sent at least this often if in use, in ms. */
const MAX_ROW_AGE_MS = 10_000;
/**
 * Rows with less than this fraction of the own samples are not taken: a leader
 * that has just started knows less than its predecessor did.
 */
const MIN_MERGED_SHARE = 0.5;

/** The mean of a kind that isn't known. */
const NO_SAMPLES: Readonly<MovingMean> = createMovingMean();

/**
 * Creates a model of service times as the product of three factors, which change
 * at different rates: the work of the request's kind, the slowness of the
 * server, and the present slowdown by other work on the server's machine.
 *
 * Each answer updates the means of the first two in turn, each from the time
 * divided by the present estimate of the other. Means with few samples are drawn
 * towards the mean of their service, or of the kind at other services.
 *
 * @example
 * ```ts
 * const model = createTimeModel({clock});
 * model.record({service, kind, server, tookMs: 240, slowdown: 1.5});
 * model.expectedMs(service, kind, server);
 * ```
 */
export function createTimeModel({clock}: TimeModelConfig): TimeModel {
  const services = new Map<string, ServiceState>();
  const servers = new Map<string, ServerState>();
  let known: KnownNames | null = null;
  let revision = 0;

  const isKnown = (service: string, server: string): boolean =>
    known === null ||
    (known.services.has(service) && known.servers.has(server));

  const isKnownKind = (kind: number): boolean =>
    kind !== UNKNOWN_KIND && (known === null || known.kinds.has(kind));

  const serviceState = (service: string): ServiceState =>
    getOrCreate(services, service, createService);

  const serverState = (server: string, service: string): ServerState =>
    getOrCreate(servers, server, () => createServer(service));

  const publish = (
    {published}: {readonly published: Published},
    {mean, samples}: MovingMean,
  ): void => {
    revision++;
    Object.assign(published, {revision, mean, samples, at: clock.now()});
  };

  const publishIfChanged = (
    row: {readonly published: Published},
    value: MovingMean,
  ): void => {
    if (hasNews(row.published, value)) publish(row, value);
  };

  /** Work of the kind at other services, in ms; `fallbackMs` if unknown. */
  const workElsewhere = (
    service: string,
    kind: number,
    fallbackMs: number,
  ): number => {
    let samples = 0;
    let totalMs = 0;
    for (const [name, {kinds}] of services) {
      const work = kinds.get(kind)?.work;
      if (name === service || work === undefined) continue;
      samples += work.samples;
      totalMs += work.samples * work.mean;
    }
    return samples === 0 ? fallbackMs : totalMs / samples;
  };

  /** Work of the kind at a server of mean speed without slowdown, in ms. */
  const workOf = (
    service: string,
    state: ServiceState | undefined,
    kind: number,
  ): number | null => {
    if (state === undefined || state.work.samples === 0) return null;
    const meanMs = state.work.mean;
    if (kind === UNKNOWN_KIND) return meanMs;
    const work = state.kinds.get(kind)?.work ?? NO_SAMPLES;
    if (work.samples >= WORK_SAMPLES) return work.mean;
    const priorMs = workElsewhere(service, kind, meanMs);
    return shrunkMean(work, priorMs, WORK_PRIOR_SAMPLES);
  };

  const slownessOf = (state: ServerState | undefined): number => {
    if (state === undefined) return 1;
    return rawSlowness(state) / levelOf(services.get(state.service));
  };

  const usualSlowdown = (
    ofService: ServiceState | undefined,
    state: ServerState | undefined,
  ): number => {
    if (ofService === undefined || ofService.slowdown.samples === 0) return 1;
    const meanSlowdown = ofService.slowdown.mean;
    if (state === undefined) return meanSlowdown;
    const {slowdown, slowness} = state;
    // It answers without reporting a slowdown.
    if (slowdown.samples === 0 && slowness.samples > 0) return 1;
    return shrunkMean(slowdown, meanSlowdown, SLOWDOWN_PRIOR_SAMPLES);
  };

  const usualMs = (
    service: string,
    kind: number,
    server: string,
  ): number | null => {
    const ofService = services.get(service);
    const workMs = workOf(service, ofService, kind);
    if (workMs === null) return null;
    const state = servers.get(server);
    return workMs * slownessOf(state) * usualSlowdown(ofService, state);
  };

  /** Time of a request at the listed server relative to its work. */
  const usualOf = (server: string): number => {
    const state = servers.get(server)!;
    return (
      slownessOf(state) * usualSlowdown(services.get(state.service), state)
    );
  };

  /** Mean of that over the servers of the same service. */
  const meanUsual = (server: string): number => {
    const {service} = servers.get(server)!;
    const group = [...servers].filter(([, each]) => each.service === service);
    const total = group.reduce((sum, [id]) => sum + usualOf(id), 0);
    return total / group.length;
  };

  const noteSlowdown = (
    ofService: ServiceState,
    ofServer: ServerState,
    {slowdown, tookMs}: TimeSample,
  ): number => {
    const now = clock.now();
    if (slowdown === null && ofServer.slowdown.samples === 0) return 1;
    const atEnd = slowdown ?? 1;
    const during = slowdownDuring(ofServer.reading, atEnd, tookMs, now);
    ofServer.reading = {slowdown: atEnd, at: now};
    addToMean(ofServer.slowdown, during, SLOWDOWN_SAMPLES);
    addToMean(ofService.slowdown, during, WORK_SAMPLES);
    return during;
  };

  const noteKind = (
    {kinds}: ServiceState,
    kind: number,
    workMs: number,
  ): void => {
    if (!isKnownKind(kind)) return;
    const now = clock.now();
    const row = getOrCreate(kinds, kind, createKind);
    row.seen = seenAt(row, now) + 1;
    row.seenAt = now;
    addToMean(row.work, workMs, WORK_SAMPLES);
    const isOld = now - row.published.at >= MAX_ROW_AGE_MS;
    if (!isOld && !hasNews(row.published, row.work)) return;
    // All at once, as they are related to each other in the mix.
    for (const each of kinds.values()) publish(each, each.work);
  };

  const mergers = {
    k([, service, kind, samples, mean, seen]: KindRow): void {
      if (known !== null && !known.services.has(service)) return;
      if (!isKnownKind(kind)) return;
      const row = getOrCreate(serviceState(service).kinds, kind, createKind);
      if (!isWorthTaking(row.work, samples)) return;
      Object.assign(row.work, {samples, mean});
      Object.assign(row, {seen, seenAt: clock.now()});
      publish(row, row.work);
    },
    v([
      ,
      server,
      service,
      samples,
      mean,
      slowSamples,
      slowMean,
    ]: ServerRow): void {
      if (!isKnown(service, server)) return;
      const row = serverState(server, service);
      if (!isWorthTaking(row.slowness, samples)) return;
      const raw = mean * levelOf(services.get(service));
      Object.assign(row.slowness, {samples, mean: raw});
      Object.assign(row.slowdown, {samples: slowSamples, mean: slowMean});
      publish(row, usualFactor(row));
    },
    s(row: ServiceRow): void {
      const [, service, samples, mean, slowMean, slowSamples, spread] = row;
      if (known !== null && !known.services.has(service)) return;
      const state = serviceState(service);
      if (!isWorthTaking(state.work, samples)) return;
      Object.assign(state.work, {samples, mean});
      Object.assign(state.slowdown, {samples: slowSamples, mean: slowMean});
      state.spread.replace(spread);
      publish(state, state.work);
    },
  };

  return {
    record(sample) {
      const {service, kind, server, tookMs} = sample;
      if (!isKnown(service, server) || tookMs <= 0) return;
      const ofService = serviceState(service);
      const ofServer = serverState(server, service);
      const usual = usualMs(service, kind, server);
      if (usual !== null && ofServer.slowness.samples >= SERVER_PRIOR_SAMPLES)
        ofService.spread.add(tookMs / usual);
      const unslowedMs = tookMs / noteSlowdown(ofService, ofServer, sample);
      addToMean(ofService.level, rawSlowness(ofServer), WORK_SAMPLES);
      const workMs = unslowedMs / slownessOf(ofServer);
      addToMean(ofService.work, workMs, WORK_SAMPLES);
      noteKind(ofService, kind, workMs);
      const ratio = unslowedMs / workOf(service, ofService, kind)!;
      addToMean(ofServer.slowness, ratio, SERVER_SAMPLES);
      const isOld = clock.now() - ofService.published.at >= MAX_ROW_AGE_MS;
      if (isOld || hasNews(ofService.published, ofService.work))
        publish(ofService, ofService.work);
      publishIfChanged(ofServer, usualFactor(ofServer));
    },
    expectedMs(service, kind, server) {
      const ofService = services.get(service);
      const workMs = workOf(service, ofService, kind);
      if (workMs === null) return null;
      const state = servers.get(server);
      const usually = usualSlowdown(ofService, state);
      const usual = workMs * slownessOf(state) * usually;
      const reading = state?.reading ?? null;
      if (reading === null) return usual;
      const now = clock.now();
      const presently = expectedSlowdown(reading, usually, usual, now);
      return (usual * presently) / usually;
    },
    usualMs,
    slowness: server =>
      servers.has(server) ? usualOf(server) / meanUsual(server) : 1,
    profile(service) {
      const state = services.get(service);
      if (state === undefined) return null;
      if (state.spread.total() < MIN_PROFILE_SAMPLES) return null;
      const now = clock.now();
      const seen = [...state.kinds].map(
        ([kind, row]) => [kind, seenAt(row, now)] as const,
      );
      const total = seen.reduce((sum, [, count]) => sum + count, 0);
      const kinds = seen.map(([kind, count]) => ({
        kind,
        share: count / total,
        workMs: workOf(service, state, kind)!,
      }));
      const all = {kind: UNKNOWN_KIND, share: 1, workMs: state.work.mean};
      return {
        kinds: total > 0 ? kinds : [all],
        spread: state.spread.quantiles(),
      };
    },
    services: () => [...services.keys()],
    servers() {
      const means = new Map<string, number>();
      return [...servers].map(([server, {service}]) => {
        const mean = getOrCreate(means, service, () => meanUsual(server));
        return {server, service, slowness: usualOf(server) / mean};
      });
    },
    revision: () => revision,
    rows(since = 0) {
      const rows: TimeRow[] = [];
      const now = clock.now();
      for (const [service, state] of services) {
        if (state.published.revision > since)
          rows.push(toServiceRow(service, state));
        for (const [kind, row] of state.kinds) {
          if (row.published.revision > since)
            rows.push(toKindRow(service, kind, row, now));
        }
      }
      for (const [server, state] of servers) {
        if (state.published.revision > since)
          rows.push(
            toServerRow(server, state, levelOf(services.get(state.service))),
          );
      }
      return rows;
    },
    merge(rows) {
      for (const row of rows) {
        const merger = mergers[row[0]] as ((row: TimeRow) => void) | undefined;
        // Rows of a type that only later versions of the program know.
        merger?.(row);
      }
    },
    retain(names) {
      known = names;
      for (const [service, {kinds}] of services) {
        if (!names.services.has(service)) services.delete(service);
        for (const kind of kinds.keys()) {
          if (!names.kinds.has(kind)) kinds.delete(kind);
        }
      }
      for (const [server, {service}] of servers) {
        if (!isKnown(service, server)) servers.delete(server);
      }
    },
  };
}

function getOrCreate<K, V>(map: Map<K, V>, key: K, create: () => V): V {
  const present = map.get(key);
  if (present !== undefined) return present;
  const created = create();
  map.set(key, created);
  return created;
}

/** Slowness before it is related to the mean of the service. */
function rawSlowness({slowness}: ServerState): number {
  return shrunkMean(slowness, 1, SERVER_PRIOR_SAMPLES);
}

function isWorthTaking(own: MovingMean, samples: number): boolean {
  return samples >= own.samples * MIN_MERGED_SHARE;
}
