import {createMovingMean, type MovingMean} from './moving-mean.js';
import {createPublished, type Published} from './published.js';
import type {SlowdownReading} from './slowdown.js';
import {createSpread, type Spread} from './spread.js';
import {
  roundTo,
  type KindRow,
  type ServerRow,
  type ServiceRow,
} from './time-row.js';

/** Time constant with which requests count towards the mix of kinds, in ms. */
const MIX_TIME_MS = 30_000;
/** Factors of the wire. */
const TENTHS = 10;
const THOUSANDTHS = 1_000;

/** What is known of a kind of requests at a service. */
export interface KindState {
  readonly work: MovingMean;
  /** Requests counted with `MIX_TIME_MS`, as of `seenAt`. */
  seen: number;
  seenAt: number;
  readonly published: Published;
}

/** What is known of a service. */
export interface ServiceState {
  readonly work: MovingMean;
  /**
   * Mean slowness of the servers, as of its requests. Without it, a first sample
   * that is far off would stay divided between the work and the slowness.
   */
  readonly level: MovingMean;
  readonly slowdown: MovingMean;
  readonly spread: Spread;
  readonly kinds: Map<number, KindState>;
  readonly published: Published;
}

/** What is known of a server instance. */
export interface ServerState {
  readonly service: string;
  readonly slowness: MovingMean;
  readonly slowdown: MovingMean;
  reading: SlowdownReading | null;
  readonly published: Published;
}

/** Creates the state of a service without samples. */
export function createService(): ServiceState {
  return {
    work: createMovingMean(),
    level: createMovingMean(),
    slowdown: createMovingMean(),
    spread: createSpread(),
    kinds: new Map(),
    published: createPublished(),
  };
}

/** Creates the state of a server without samples. */
export function createServer(service: string): ServerState {
  return {
    service,
    slowness: createMovingMean(),
    slowdown: createMovingMean(),
    reading: null,
    published: createPublished(),
  };
}

/** Creates the state of a kind without samples. */
export function createKind(): KindState {
  return {
    work: createMovingMean(),
    ...{seen: 0, seenAt: 0},
    published: createPublished(),
  };
}

/** Mean slowness of the service's servers; 1 if unknown. */
export function levelOf(service: ServiceState | undefined): number {
  if (service === undefined || service.level.samples === 0) return 1;
  return service.level.mean;
}

/** Recent requests of the kind, decayed to the present. */
export function seenAt({seen, seenAt: at}: KindState, now: number): number {
  return seen * Math.exp(-(now - at) / MIX_TIME_MS);
}

/** Slowness and usual slowdown of the server together. */
export function usualFactor({slowness, slowdown}: ServerState): MovingMean {
  const usual = slowdown.samples === 0 ? 1 : slowdown.mean;
  return {samples: slowness.samples, mean: slowness.mean * usual};
}

/** Converts a kind's state to the wire. */
export function toKindRow(
  service: string,
  kind: number,
  row: KindState,
  now: number,
): KindRow {
  const {samples, mean} = row.work;
  const seen = roundTo(seenAt(row, now), TENTHS);
  return ['k', service, kind, samples, roundTo(mean, TENTHS), seen];
}

/** Converts a server's state to the wire. */
export function toServerRow(
  server: string,
  {service, slowness, slowdown}: ServerState,
  level: number,
): ServerRow {
  const mean = roundTo(slowness.mean / level, THOUSANDTHS);
  return [
    ...(['v', server, service, slowness.samples, mean] as const),
    ...([slowdown.samples, roundTo(slowdown.mean, THOUSANDTHS)] as const),
  ];
}

/** Converts a service's state to the wire. */
export function toServiceRow(
  service: string,
  {work, slowdown, spread}: ServiceState,
): ServiceRow {
  return [
    ...(['s', service, work.samples, roundTo(work.mean, TENTHS)] as const),
    ...([roundTo(slowdown.mean, THOUSANDTHS), slowdown.samples] as const),
    spread.counts(),
  ];
}
