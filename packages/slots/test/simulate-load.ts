import type {ServerInfo} from '@banyandrum/dispatch/backend.js';
import {createBackends} from '@banyandrum/dispatch/backends.js';
import type {Owner} from '@banyandrum/dispatch/owners.js';
import {
  createSlotAllocator,
  type SlotAllocator,
} from '@banyandrum/slots/slot-allocator.js';
import {kindOf} from '@banyandrum/service-times/kind.js';
import {createTimeModel} from '@banyandrum/service-times/time-model.js';
import type {SlotReply} from '@banyandrum/dispatch/slots.js';
import {createServerLimits} from '@banyandrum/dispatch/server-limits.js';
import {createSuspects} from '@banyandrum/dispatch/suspects.js';
import {
  createManualClock,
  type ManualClock,
} from '@banyandrum/standins/manual-clock.js';
import {createRandom} from '@banyandrum/standins/seeded-random.js';

/** Kind of caller; all kinds send requests to the same service. */
export interface CallerKind {
  readonly name: string;
  /** New requests per second. */
  readonly perSecond: number;
  readonly priority: number;
  /** Mean service time at a server of normal speed, in ms. */
  readonly workMs: number;
  /** Target latency: answers within this time have full value, in ms. */
  readonly targetMs: number;
  /** Time after which a caller gives up, in ms. */
  readonly limitMs: number;
  /** Value of an answer after the target latency, 0 to 1. */
  readonly lateValue: number;
  /** Hashes of the callers' addresses, picked at random; absent if unknown. */
  readonly callers?: readonly number[];
  /** Keys of its requests, picked at random; any key by default. */
  readonly keys?: readonly number[];
  /** Retries of a refused request; one by default. */
  readonly retries?: number;
  /** Whether it ignores the retry delay of a refusal. */
  readonly retriesAtOnce?: boolean;
}

/** Servers, callers and duration of a simulation. */
export interface Load {
  readonly seed: number;
  readonly seconds: number;
  readonly slots: number;
  /** Slowdown factor of each server. */
  readonly slowness: readonly number[];
  readonly kinds: readonly CallerKind[];
  /** Whether requests have keys, each owned by one server. */
  readonly isKeyed: boolean;
  /** Other work on the servers' hosts that slows them down at times. */
  readonly noise?: Noise;
  /** Share of each server's load relative to its capacity, if keyed. */
  readonly ownerLoads?: readonly number[];
  /** Whether retries are treated as new requests. */
  readonly treatsRetriesAsNew?: boolean;
  /** Whether times are kept by kind of caller and by server. */
  readonly timesByKind?: boolean;
  /** Order of waiting requests of one priority; by slack by default. */
  readonly queue?: 'by_slack' | 'fair';
  /** Called for each refusal, with its reason and the time waited, in ms. */
  readonly onRefused?: (why: string, waitedMs: number) => void;
}

/** Slowdowns that come and go. */
export interface Noise {
  /** Share of the time in which a server is slowed down. */
  readonly share: number;
  readonly factor: number;
  /** Mean time between changes, in ms. */
  readonly everyMs: number;
}

/** Results for the callers of one kind. */
export interface Outcome {
  requests: number;
  onTime: number;
  late: number;
  unserved: number;
  /** Earned fraction of the maximum value. */
  value: number;
  /** Total wait of each unserved caller, in ms. */
  waitedMs: number[];
  /** Callers that were refused again on their retry. */
  refusedAgain: number;
  /** Slot requests, retries included. */
  asks: number;
  /** Time from each slot request to its refusal, in ms. */
  refusedAfterMs: number[];
}

interface Simulation {
  readonly load: Load;
  readonly clock: ManualClock;
  readonly allocator: SlotAllocator;
  readonly random: () => number;
  readonly slownessOf: ReadonlyMap<string, number>;
  /** Slowdown by other work, per server. */
  readonly noiseOf: Map<string, number>;
  /** Picks a key; each server owns the keys of its index. */
  pickKey(): number;
}

/** Maximum delay of a retry, as a fraction of the remaining time. */
const MAX_RETRY_DELAY_SHARE = 1 / 3;
/** Round-trip time, in ms. */
const ROUND_TRIP_MS = 2;
const STEP_MS = 50;
const KEYS = 64;
const SERVICE = 'desks';

/**
 * Simulates the load on a slot allocator. Refused callers retry once, after the
 * delay in the refusal.
 */
export async function simulateLoad(
  load: Load,
): Promise<ReadonlyMap<string, Outcome>> {
  const clock = createManualClock(1_000);
  const random = createRandom(load.seed);
  const servers = load.slowness.map((_, at) => toInfo(at, load.slots));
  const backends = createBackends(clock);
  backends.update(servers);
  const ownerOf = (key: number): Owner => ({
    kind: 'held',
    server: servers[key % servers.length]!.id,
  });
  const allocator = createSlotAllocator({
    ...{backends, clock},
    emit(event, {why, waitedMs}) {
      if (event !== 'place-refused') return;
      load.onRefused?.(String(why), Number(waitedMs));
    },
    suspects: createSuspects(clock, () => undefined),
    limits: createServerLimits({clock, emit: () => undefined}),
    ownerOf: (_, key) => ownerOf(key),
    onNotHeld: () => undefined,
    ...(load.timesByKind && {times: createTimeModel({clock})}),
    ...(load.queue !== undefined && {queue: load.queue}),
  });
  const slownessOf = new Map(
    servers.map(({id}, at) => [id, load.slowness[at]!]),
  );
  const noiseOf = new Map<string, number>();
  if (load.noise !== undefined) {
    const {share, factor, everyMs} = load.noise;
    for (const {id} of servers) {
      const change = (): void => {
        noiseOf.set(id, random() < share ? factor : 1);
        clock.after(everyMs * (0.5 + random()), change);
      };
      change();
    }
  }
  const weights = (load.ownerLoads ?? []).map(
    (weight, at) => weight / load.slowness[at]!,
  );
  const totalWeight = weights.reduce((sum, each) => sum + each, 0);
  const pickKey = (): number => {
    if (weights.length === 0) return Math.floor(random() * KEYS);
    let left = random() * totalWeight;
    return weights.findIndex(weight => (left -= weight) < 0);
  };
  const simulation: Simulation = {
    ...{noiseOf, pickKey},
    load,
    clock,
    allocator,
    random,
    slownessOf,
  };
  const outcomes = new Map<string, Outcome>();
  for (const kind of load.kinds) {
    const outcome = createOutcome();
    outcomes.set(kind.name, outcome);
    let at = 0;
    while (at < load.seconds * 1_000) {
      at += (-Math.log(1 - random()) / kind.perSecond) * 1_000;
      clock.after(at, () => call(simulation, kind, outcome));
    }
  }
  const longest = Math.max(...load.kinds.map(({limitMs}) => limitMs));
  await clock.advance(load.seconds * 1_000 + longest * 2);
  for (const {name} of load.kinds) computeValue(load, outcomes, name);
  return outcomes;
}

/** Earned fraction of the maximum value over all kinds. */
export function totalValue(
  load: Load,
  outcomes: ReadonlyMap<string, Outcome>,
): number {
  let requests = 0;
  let totalEarned = 0;
  for (const {name} of load.kinds) {
    const outcome = outcomes.get(name)!;
    requests += outcome.requests;
    totalEarned += outcome.value * outcome.requests;
  }
  return totalEarned / requests;
}

function createOutcome(): Outcome {
  return {
    ...{requests: 0, onTime: 0, late: 0, unserved: 0},
    ...{value: 0, waitedMs: [], refusedAgain: 0},
    ...{asks: 0, refusedAfterMs: []},
  };
}

function toInfo(at: number, slots: number): ServerInfo {
  return {
    ...{id: `s${at}`, service: SERVICE, address: `10.0.0.${at}:80`},
    ...{dataCentre: 'a', slots, isLeaving: false, coldUntil: 0},
  };
}

/** Simulates one caller's request and its retry. */
function call(
  simulation: Simulation,
  kind: CallerKind,
  outcome: Outcome,
): void {
  const {clock, random, load} = simulation;
  const startedAt = clock.now();
  const key = load.isKeyed
    ? (pick(kind.keys, random) ?? simulation.pickKey())
    : null;
  const caller = pick(kind.callers, random);
  let waitedMs = 0;
  let retriesLeft = kind.retries ?? 1;
  outcome.requests++;

  const giveUp = (isRetry: boolean): void => {
    outcome.unserved++;
    outcome.waitedMs.push(waitedMs);
    if (isRetry) outcome.refusedAgain++;
  };

  const attempt = (isRetry: boolean): void => {
    const requestedAt = clock.now();
    const leftMs = kind.limitMs - (requestedAt - startedAt);
    if (leftMs < ROUND_TRIP_MS) return giveUp(isRetry);
    let isDone = false;
    const cancelTimeout = clock.after(leftMs, () => {
      if (isDone) return;
      isDone = true;
      waitedMs += leftMs;
      release('cancelled', 0);
      giveUp(isRetry);
    });
    const handleReply = (reply: SlotReply): void => {
      if (isDone) return;
      if (reply.kind === 'granted') return run(reply.server);
      isDone = true;
      cancelTimeout();
      waitedMs += clock.now() - requestedAt;
      outcome.refusedAfterMs.push(clock.now() - requestedAt);
      if (retriesLeft-- === 0 || reply.kind !== 'refused')
        return giveUp(isRetry);
      const remainingMs = kind.limitMs - (clock.now() - startedAt);
      const pause = Math.min(
        kind.retriesAtOnce === true ? 0 : reply.retryAfterMs,
        remainingMs * MAX_RETRY_DELAY_SHARE,
      );
      clock.after(pause + ROUND_TRIP_MS, () => attempt(true));
    };
    /** Calls `done` after the work, which noise slows down. */
    const work = (
      server: string,
      workMs: number,
      done: (tookMs: number) => void,
    ): void => {
      const since = clock.now();
      const step = (leftMs: number): void => {
        const noise = simulation.noiseOf.get(server) ?? 1;
        if (load.noise === undefined || leftMs * noise <= STEP_MS) {
          clock.after(leftMs * noise, () => done(clock.now() - since));
          return;
        }
        clock.after(STEP_MS, () => step(leftMs - STEP_MS / noise));
      };
      step(workMs);
    };
    const run = (server: string): void => {
      const variation = 0.5 + random();
      const tookMs =
        kind.workMs * variation * simulation.slownessOf.get(server)!;
      work(server, tookMs, tookMs => {
        release('answered', tookMs, simulation.noiseOf.get(server));
        if (isDone) return;
        isDone = true;
        cancelTimeout();
        if (clock.now() - startedAt <= kind.targetMs) outcome.onTime++;
        else outcome.late++;
      });
    };
    const elapsedMs = load.treatsRetriesAsNew ? 0 : kind.limitMs - leftMs;
    outcome.asks++;
    const release = simulation.allocator.ask(
      {
        ...{id: 'r', service: SERVICE, key, priority: kind.priority},
        ...{leftMs, aimLeftMs: kind.targetMs - elapsedMs, askedMs: elapsedMs},
        ...{excluded: [], dataCentre: 'a', kind: kindOf(kind.name)},
        ...(caller !== undefined && {caller}),
      },
      reply => clock.after(0, () => handleReply(reply)),
    );
  };
  attempt(false);
}

/** Picks an item at random; undefined if there are none to choose from. */
function pick(
  items: readonly number[] | undefined,
  random: () => number,
): number | undefined {
  return items?.[Math.floor(random() * items.length)];
}

function computeValue(
  {kinds}: Load,
  outcomes: ReadonlyMap<string, Outcome>,
  name: string,
): void {
  const outcome = outcomes.get(name)!;
  const {lateValue} = kinds.find(kind => kind.name === name)!;
  const {requests, onTime, late} = outcome;
  outcome.value = (onTime + late * lateValue) / requests;
}
