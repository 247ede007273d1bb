import type {Clock} from '@banyandrum/base/clock.js';
import {kindOf} from '@banyandrum/service-times/kind.js';
import type {
  TimeModel,
  TimeSample,
} from '@banyandrum/service-times/time-model.js';
import {createRandom} from '@banyandrum/standins/seeded-random.js';

/** Requests of one route. */
export interface RouteLoad {
  readonly route: string;
  readonly perSecond: number;
  readonly workMs: number;
  /** Service at a time since the start, in ms. */
  serviceAt(atMs: number): string;
}

/** Servers and requests of a deployment. */
export interface Deployment {
  /** Number of servers by service. */
  readonly servers: Readonly<Record<string, number>>;
  /** Service times relative to the work, by index of the server, repeated. */
  readonly speeds: readonly number[];
  readonly routes: readonly RouteLoad[];
  /** Whether servers report the slowdown by other work. */
  readonly reportsSlowdown: boolean;
}

/** A simulated deployment whose answers a model learns from. */
export interface TimeSimulation {
  readonly clock: Clock;
  readonly servers: readonly SimulatedServer[];
  /** Lets requests arrive and be answered until the time, in ms. */
  runUntil(atMs: number): void;
  /** True mean time of requests sent to the server now, in ms. */
  trueExpectedMs(workMs: number, server: SimulatedServer): number;
  /** True mean time of requests sent to the server at any time, in ms. */
  trueUsualMs(workMs: number, server: SimulatedServer): number;
}

/** A server with the times at which other work slows it down. */
export interface SimulatedServer {
  readonly id: string;
  readonly service: string;
  readonly speed: number;
  /** Ends of periods of constant slowdown, in ms, and the slowdown in each. */
  readonly ends: number[];
  readonly slowdowns: number[];
}

const SLOWDOWN = 3;
const SLOW_SHARE = 0.2;
const PERIOD_MS = 400;
/** Standard deviation of the logarithm of a time that varies by half. */
const SIGMA = Math.sqrt(Math.log(1 + 0.5 ** 2));
const MEAN_SAMPLES = 300;
const END_MS = 120_000;

/** Creates the simulation; answers are recorded by `model`. */
export function simulateTimes(
  deployment: Deployment,
  seed: number,
  createModel: (clock: Clock) => TimeModel,
): TimeSimulation & {readonly model: TimeModel} {
  const random = createRandom(seed);
  let now = 0;
  const clock: Clock = {now: () => now, after: () => () => undefined};
  const model = createModel(clock);
  const servers = Object.entries(deployment.servers).flatMap(
    ([service, count]) =>
      Array.from({length: count}, (_, at) =>
        createServer(deployment, service, at, random),
      ),
  );
  const pending: {readonly at: number; readonly sample: TimeSample}[] = [];
  const nextArrivals = deployment.routes.map(() => 0);

  const arrive = ({route, workMs, serviceAt}: RouteLoad): void => {
    const service = serviceAt(now);
    const group = servers.filter(each => each.service === service);
    const server = group[Math.floor(random() * group.length)]!;
    const ownMs = workMs * server.speed * logNormal(random);
    const tookMs = finish(server, now, ownMs) - now;
    const at = now + tookMs;
    const slowdown = deployment.reportsSlowdown ? slowdownAt(server, at) : null;
    const sample = {service, kind: kindOf(route), server: server.id, tookMs};
    pending.push({at, sample: {...sample, slowdown}});
  };

  const answer = (atMs: number): void => {
    pending.sort((a, b) => a.at - b.at);
    while (pending.length > 0 && pending[0]!.at <= atMs) {
      const {at, sample} = pending.shift()!;
      now = at;
      model.record(sample);
    }
    now = atMs;
  };

  const meanOf = (
    ownMs: number,
    server: SimulatedServer,
    from: () => number,
  ) => {
    let total = 0;
    for (let each = 0; each < MEAN_SAMPLES; each++) {
      const at = from();
      const took = finish(server, at, ownMs * logNormal(random)) - at;
      total += took;
    }
    return total / MEAN_SAMPLES;
  };

  return {
    ...{clock, servers, model},
    runUntil(atMs) {
      for (;;) {
        const next = Math.min(...nextArrivals);
        if (next > atMs) return answer(atMs);
        answer(next);
        const at = nextArrivals.indexOf(next);
        const load = deployment.routes[at]!;
        nextArrivals[at] =
          next - (Math.log(1 - random()) * 1_000) / load.perSecond;
        arrive(load);
      }
    },
    trueExpectedMs(workMs, server) {
      // The present period is known, those after it are not.
      let total = 0;
      for (let each = 0; each < MEAN_SAMPLES; each++) {
        const future = withOtherFuture(server, now, random);
        const ownMs = workMs * server.speed * logNormal(random);
        total += finish(future, now, ownMs) - now;
      }
      return total / MEAN_SAMPLES;
    },
    trueUsualMs: (workMs, server) =>
      meanOf(workMs * server.speed, server, () => random() * END_MS * 0.9),
  };
}

function createServer(
  {speeds}: Deployment,
  service: string,
  at: number,
  random: () => number,
): SimulatedServer {
  const server = {
    ...{id: `${service}-${at}`, service, speed: speeds[at % speeds.length]!},
    ...{ends: [], slowdowns: []},
  };
  addPeriods(server, 0, random);
  return server;
}

function addPeriods(
  {ends, slowdowns}: SimulatedServer,
  from: number,
  random: () => number,
): void {
  let end = from;
  while (end < END_MS) {
    end += PERIOD_MS * (0.5 + random());
    ends.push(end);
    slowdowns.push(random() < SLOW_SHARE ? SLOWDOWN : 1);
  }
}

/** The server with the same period now and others after it. */
function withOtherFuture(
  server: SimulatedServer,
  now: number,
  random: () => number,
): SimulatedServer {
  const at = server.ends.findIndex(end => end > now);
  // It is not known when the present period ends.
  const end = now + PERIOD_MS * random() * (0.5 + random());
  const future = {...server, ends: [end], slowdowns: [server.slowdowns[at]!]};
  let last = end;
  while (last < now + 10_000) {
    last += PERIOD_MS * (0.5 + random());
    future.ends.push(last);
    future.slowdowns.push(random() < SLOW_SHARE ? SLOWDOWN : 1);
  }
  return future;
}

/** Time at which work that takes `ownMs` without other work is done, in ms. */
function finish(
  {ends, slowdowns}: SimulatedServer,
  from: number,
  ownMs: number,
): number {
  let now = from;
  let left = ownMs;
  for (let at = periodAt(ends, from); at < ends.length; at++) {
    const doneMs = (ends[at]! - now) / slowdowns[at]!;
    if (doneMs >= left) return now + left * slowdowns[at]!;
    left -= doneMs;
    now = ends[at]!;
  }
  return now + left;
}

function slowdownAt({ends, slowdowns}: SimulatedServer, at: number): number {
  return slowdowns[periodAt(ends, at)] ?? 1;
}

/** Index of the first period that ends after the time. */
function periodAt(ends: readonly number[], time: number): number {
  let from = 0;
  let to = ends.length;
  while (from < to) {
    const middle = (from + to) >> 1;
    if (ends[middle]! <= time) from = middle + 1;
    else to = middle;
  }
  return from;
}

/** A factor with mean 1 and a standard deviation of a half. */
function logNormal(random: () => number): number {
  const normal =
    Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  return Math.exp(SIGMA * normal - SIGMA ** 2 / 2);
}
