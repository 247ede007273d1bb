import type {ServerInfo} from '@banyandrum/dispatch/backend.js';
import {createBackends} from '@banyandrum/dispatch/backends.js';
import type {Owner} from '@banyandrum/dispatch/owners.js';
import {
  createSlotAllocator,
  type SlotAllocator,
} from '@banyandrum/dispatch/place-issuer.js';
import type {SlotReply} from '@banyandrum/dispatch/slots.js';
import {createServerLimits} from '@banyandrum/dispatch/server-limits.js';
import {createSuspects} from '@banyandrum/dispatch/suspects.js';
import {
  createManualClock,
  type ManualClock,
} from '@banyandrum/standins/manual-clock.js';
import {createRandom} from '@banyandrum/standins/seeded-random.js';

/** Callers of one kind, all of whom ask one service. */
export interface CallerKind {
  readonly name: string;
  /** New requests a second. */
  readonly perSecond: number;
  readonly priority: number;
  /** Mean time of a request at a server of usual speed, in ms. */
  readonly workMs: number;
  /** Answers within this time are worth most, in ms. */
  readonly targetMs: number;
  readonly limitMs: number;
  /** What an answer after the aim is worth, 0 to 1. */
  readonly lateValue: number;
}

/** Servers, callers and how long they are watched. */
export interface Load {
  readonly seed: number;
  readonly seconds: number;
  readonly slots: number;
  /** One server for each: how many times as long as usual it takes. */
  readonly slowness: readonly number[];
  readonly kinds: readonly CallerKind[];
  /** Whether each key belongs to one server. */
  readonly isKeyed: boolean;
  /** Whether callers that come back are taken for new ones. */
  readonly treatsRetriesAsNew?: boolean;
}

/** What callers of one kind got. */
export interface Outcome {
  requests: number;
  onTime: number;
  late: number;
  unserved: number;
  /** Of all worth, the share that was earned. */
  value: number;
  /** Of the unserved: the time for which they were held in all, in ms. */
  waitedMs: number[];
  /** Refused after they had come back from a refusal. */
  refusedAgain: number;
}

interface Simulation {
  readonly load: Load;
  readonly clock: ManualClock;
  readonly issuer: SlotAllocator;
  readonly random: () => number;
  readonly slownessOf: ReadonlyMap<string, number>;
}

/** Callers wait at most this share of their time before they come back. */
const MAX_RETRY_DELAY_SHARE = 1 / 3;
/** The way there and back, in ms. */
const ROUND_TRIP_MS = 2;
const KEYS = 64;
const SERVICE = 'desks';

/**
 * Plays the load on a place issuer; callers come back once after a refusal, as
 * they are told.
 */
export async function simulateLoad(
  load: Load,
): Promise<ReadonlyMap<string, Outcome>> {
  const clock = createManualClock(1_000);
  const random = createRandom(load.seed);
  const servers = load.slowness.map((_, at) => toInfo(at, load.slots));
  const backends = createBackends(clock);
  backends.update(servers);
  const holderOf = (key: number): Owner => ({
    kind: 'held',
    server: servers[key % servers.length]!.id,
  });
  const issuer = createSlotAllocator({
    ...{backends, clock},
    emit: () => undefined,
    suspects: createSuspects(clock, () => undefined),
    limits: createServerLimits({clock, emit: () => undefined}),
    ownerOf: (_, key) => holderOf(key),
  });
  const slownessOf = new Map(
    servers.map(({id}, at) => [id, load.slowness[at]!]),
  );
  const world: Simulation = {load, clock, issuer, random, slownessOf};
  const outcomes = new Map<string, Outcome>();
  for (const kind of load.kinds) {
    const outcome = createOutcome();
    outcomes.set(kind.name, outcome);
    let at = 0;
    while (at < load.seconds * 1_000) {
      at += (-Math.log(1 - random()) / kind.perSecond) * 1_000;
      clock.after(at, () => call(world, kind, outcome));
    }
  }
  const longest = Math.max(...load.kinds.map(({limitMs}) => limitMs));
  await clock.advance(load.seconds * 1_000 + longest * 2);
  for (const {name} of load.kinds) computeValue(load, outcomes, name);
  return outcomes;
}

/** All that was earned, of all that could be. */
export function totalValue(
  load: Load,
  outcomes: ReadonlyMap<string, Outcome>,
): number {
  let asked = 0;
  let earned = 0;
  for (const {name} of load.kinds) {
    const outcome = outcomes.get(name)!;
    asked += outcome.requests;
    earned += outcome.value * outcome.requests;
  }
  return earned / asked;
}

function createOutcome(): Outcome {
  return {
    ...{requests: 0, onTime: 0, late: 0, unserved: 0},
    ...{value: 0, waitedMs: [], refusedAgain: 0},
  };
}

function toInfo(at: number, slots: number): ServerInfo {
  return {
    ...{id: `s${at}`, service: SERVICE, address: `10.0.0.${at}:80`},
    ...{dataCentre: 'a', slots, isLeaving: false, coldMs: 0},
  };
}

/** One caller's request, with its second attempt. */
function call(world: Simulation, kind: CallerKind, outcome: Outcome): void {
  const {clock, random, load} = world;
  const began = clock.now();
  const key = load.isKeyed ? Math.floor(random() * KEYS) : null;
  let heldMs = 0;
  outcome.requests++;

  const giveUp = (isAgain: boolean): void => {
    outcome.unserved++;
    outcome.waitedMs.push(heldMs);
    if (isAgain) outcome.refusedAgain++;
  };

  const attempt = (isAgain: boolean): void => {
    const askedAt = clock.now();
    const leftMs = kind.limitMs - (askedAt - began);
    if (leftMs < ROUND_TRIP_MS) return giveUp(isAgain);
    let isOver = false;
    const cancelGone = clock.after(leftMs, () => {
      if (isOver) return;
      isOver = true;
      heldMs += leftMs;
      end('cancelled', 0);
      giveUp(isAgain);
    });
    const take = (reply: SlotReply): void => {
      if (isOver) return;
      if (reply.kind === 'granted') return run(reply.server);
      isOver = true;
      cancelGone();
      heldMs += clock.now() - askedAt;
      if (isAgain || reply.kind !== 'refused') return giveUp(isAgain);
      const left = kind.limitMs - (clock.now() - began);
      const pause = Math.min(reply.retryAfterMs, left * MAX_RETRY_DELAY_SHARE);
      clock.after(pause + ROUND_TRIP_MS, () => attempt(true));
    };
    const run = (server: string): void => {
      const shape = 0.5 + random();
      const tookMs = kind.workMs * shape * world.slownessOf.get(server)!;
      clock.after(tookMs, () => {
        end('answered', tookMs);
        if (isOver) return;
        isOver = true;
        cancelGone();
        if (clock.now() - began <= kind.targetMs) outcome.onTime++;
        else outcome.late++;
      });
    };
    const goneMs = load.treatsRetriesAsNew ? 0 : kind.limitMs - leftMs;
    const end = world.issuer.ask(
      {
        ...{id: 'r', service: SERVICE, key, priority: kind.priority},
        ...{leftMs, aimLeftMs: kind.targetMs - goneMs, askedMs: goneMs},
        ...{excluded: [], dataCentre: 'a'},
      },
      reply => clock.after(0, () => take(reply)),
    );
  };
  attempt(false);
}

function computeValue(
  {kinds}: Load,
  outcomes: ReadonlyMap<string, Outcome>,
  name: string,
): void {
  const outcome = outcomes.get(name)!;
  const {lateValue: lateWorth} = kinds.find(kind => kind.name === name)!;
  const {requests: asked, onTime: inAim, late} = outcome;
  outcome.value = (inAim + late * lateWorth) / asked;
}
