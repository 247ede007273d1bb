import type {ServerInfo} from '@banyandrum/dispatch/backend.js';
import {createBackends} from '@banyandrum/dispatch/backends.js';
import type {ContentDigests} from '@banyandrum/dispatch/content-digests.js';
import {
  createSlotAllocator,
  type SlotAllocator,
} from '@banyandrum/dispatch/place-issuer.js';
import type {SlotOutcome, SlotReply} from '@banyandrum/dispatch/slots.js';
import {shouldBroadcast} from '@banyandrum/dispatch/suspect.js';
import {createServerLimits} from '@banyandrum/dispatch/server-limits.js';
import {createSuspects, type Suspects} from '@banyandrum/dispatch/suspects.js';
import {
  createManualClock,
  type ManualClock,
} from '@banyandrum/standins/manual-clock.js';
import {createRandom} from '@banyandrum/standins/seeded-random.js';

/** Requests that end servers among others, at several routers. */
export interface PoisonLoad {
  readonly seed: number;
  readonly seconds: number;
  readonly routers: number;
  readonly servers: number;
  /** Different requests that end servers; each comes ten times a second. */
  readonly poisonRequests: number;
  /** Other requests a second, a tenth of them for one busy content. */
  readonly normalPerSecond: number;
  /** No router leads for `LEADERLESS_MS` from this time on, in ms. */
  readonly leaderLostAt?: number;
  /** A seventh of the servers ends at this time, in ms. */
  readonly crashAt?: number;
}

/** What came of it. */
export interface PoisonOutcome {
  /** Servers that ended under bad requests. */
  crashes: number;
  /** From the third end under one bad request to its last send, in ms. */
  lastSendMs: number;
  /** Sends of one bad request later than `LATE_MS` after its third end. */
  lateSends: number;
  normal: number;
  normalServed: number;
  /** Good requests refused as quarantined. */
  normalRefused: number;
}

interface Server {
  readonly info: ServerInfo;
  readonly running: Set<() => void>;
}

interface SimulatedRequest {
  readonly contents: ContentDigests;
  readonly poisonId: number | null;
  readonly router: number;
}

interface CrashCount {
  crashes: number;
  thirdCrashAt: number;
}

/** A time limit of the rules, in ms. */
export const LATE_MS = 3_000;
const LEADERLESS_MS = 1_700;
const SERVICE = 'desks';
const SLOTS = 4;
const WORK_MS = 90;
/** From the start of a bad request's run to its server's end, in ms. */
const TIME_TO_CRASH_MS = 40;
/** A server that ended is back after this time, in ms. */
const RESTART_MS = 2_300;
/** One way between routers, in ms. */
const LINK_DELAY_MS = 2;
/** To find that an address refuses connections, in ms. */
const PROBE_MS = 2;
const MAX_ATTEMPTS = 2;
/** How often a caller asks again, and after which time, in ms. */
const CALLS = 3;
const RETRY_MS = 150;

/** Plays the load on a manual clock. */
export async function simulatePoison(load: PoisonLoad): Promise<PoisonOutcome> {
  const world = createSimulation(load);
  const {clock, random} = world;
  const {seconds, poisonRequests: bad, routers} = load;
  for (let at = 0; at < seconds * 1_000; at += 100) {
    for (let number = 0; number < bad; number++) {
      clock.after(at + random() * 100, () =>
        world.call({
          contents: contentsOf(`bad${number}`, Math.floor(random() * 40)),
          ...{poisonId: number, router: Math.floor(random() * routers)},
        }),
      );
    }
  }
  for (let at = 0; at < load.normalPerSecond * seconds; at++) {
    const path = random() < 0.1 ? 'busy' : `good${at}`;
    clock.after(random() * seconds * 1_000, () =>
      world.call({
        contents: contentsOf(path, Math.floor(random() * 40)),
        ...{poisonId: null, router: Math.floor(random() * routers)},
      }),
    );
  }
  if (load.crashAt !== undefined) clock.after(load.crashAt, world.crashSome);
  if (load.leaderLostAt !== undefined) {
    clock.after(load.leaderLostAt, world.loseLeader);
  }
  await clock.advance(seconds * 1_000 + 5_000);
  return world.outcome;
}

function contentsOf(path: string, caller: number): ContentDigests {
  return {exact: `${path} ${caller}`, anyCaller: `${path} any`, anyQuery: path};
}

interface Simulation {
  readonly clock: ManualClock;
  readonly random: () => number;
  readonly outcome: PoisonOutcome;
  call(ask: SimulatedRequest): void;
  crashSome(): void;
  loseLeader(): void;
}

function createSimulation(load: PoisonLoad): Simulation {
  const clock = createManualClock(1_000);
  const random = createRandom(load.seed);
  const quiet = (): void => undefined;
  const limits = createServerLimits({clock, emit: quiet});
  const tables = Array.from({length: load.routers}, () =>
    createSuspects(clock, quiet, () => 0),
  );
  const servers = new Map<string, Server>();
  const backends = createBackends(clock);
  const sends = new Map<number, CrashCount>();
  const outcome: PoisonOutcome = {
    ...{crashes: 0, lastSendMs: 0, lateSends: 0},
    ...{normal: 0, normalServed: 0, normalRefused: 0},
  };
  const told = new Set<string>();
  let started = 0;
  let leader: number | null = 0;
  let issuer: SlotAllocator | null = null;

  const lead = (router: number): void => {
    leader = router;
    issuer = createSlotAllocator({
      ...{backends, clock, emit: quiet, suspects: tables[router]!},
      limits,
      ownerOf: () => ({kind: 'none'}),
    });
    // Those who follow it tell what they know.
    for (const table of tables) tables[router]!.merge(table.rows());
    tables[router]!.applyQuarantineRules();
  };

  tables.forEach((own, at) =>
    own.subscribe((rows, isOwn) => {
      if (leader === at) {
        own.applyQuarantineRules();
        for (const row of own.rows()) {
          if (shouldBroadcast(row)) told.add(row.content);
        }
        const news = own.rows().filter(({content}) => told.has(content));
        clock.after(LINK_DELAY_MS, () =>
          tables.forEach(each => each.merge(news)),
        );
      } else if (isOwn) {
        const to = leader;
        if (to !== null)
          clock.after(LINK_DELAY_MS, () => tables[to]!.merge(rows));
      }
    }),
  );

  const list = (): void =>
    backends.update([...servers.values()].map(({info}) => info));
  const start = (): void => {
    const id = `s${started++}`;
    const info: ServerInfo = {
      ...{id, service: SERVICE, address: `10.0.0.1:${started}`},
      ...{dataCentre: 'a', slots: SLOTS, isLeaving: false, coldMs: 0},
    };
    servers.set(id, {info, running: new Set()});
    list();
  };
  const end = (server: Server): void => {
    if (!servers.delete(server.info.id)) return;
    for (const lose of server.running) lose();
    clock.after(500, list);
    clock.after(RESTART_MS, start);
  };
  for (let at = 0; at < load.servers; at++) start();
  lead(0);

  const noteSend = (bad: number): void => {
    const own = sends.get(bad);
    if (own === undefined || own.crashes < 3) return;
    const ms = clock.now() - own.thirdCrashAt;
    outcome.lastSendMs = Math.max(outcome.lastSendMs, ms);
    if (ms > LATE_MS) outcome.lateSends++;
  };
  const noteEnd = (bad: number): void => {
    const own = sends.get(bad) ?? {crashes: 0, thirdCrashAt: 0};
    sends.set(bad, own);
    own.crashes++;
    if (own.crashes === 3) own.thirdCrashAt = clock.now();
    outcome.crashes++;
  };

  /** One attempt at a server; null where it has none. */
  const run = (
    ask: SimulatedRequest,
    id: string,
    isTrial: boolean,
    done: (how: SlotOutcome, tookMs: number) => void,
  ): void => {
    const server = servers.get(id);
    const own = tables[ask.router]!;
    if (server === undefined) {
      return void clock.after(PROBE_MS, () => done('unreached', 0));
    }
    const began = clock.now();
    if (ask.poisonId !== null) noteSend(ask.poisonId);
    const lose = (): void => {
      cancel();
      clock.after(PROBE_MS, () => {
        const about = {caller: 'c', service: SERVICE, route: 'r'};
        own.addStrike({...about, contents: ask.contents}, id, isTrial);
        done('lost', clock.now() - began);
      });
    };
    server.running.add(lose);
    const workMs = WORK_MS * (0.5 + random());
    const cancel = clock.after(
      ask.poisonId === null ? workMs : TIME_TO_CRASH_MS,
      () => {
        if (ask.poisonId !== null) {
          noteEnd(ask.poisonId);
          return end(server);
        }
        server.running.delete(lose);
        own.clearAnswered(ask.contents);
        done('answered', clock.now() - began);
      },
    );
  };

  const call = (ask: SimulatedRequest): void => {
    if (ask.poisonId === null) outcome.normal++;
    attemptCall(ask, 1);
  };

  const again = (ask: SimulatedRequest, calls: number): void => {
    if (calls >= CALLS) return;
    const router = Math.floor(random() * load.routers);
    clock.after(RETRY_MS * (0.5 + random()), () =>
      attemptCall({...ask, router}, calls + 1),
    );
  };

  const attemptCall = (ask: SimulatedRequest, calls: number): void => {
    const own: Suspects = tables[ask.router]!;
    const excluded: string[] = [];
    const tryOnce = (attempts: number): void => {
      const standing = own.standingOf(ask.contents);
      if (standing === 'quarantined') {
        if (ask.poisonId === null) outcome.normalRefused++;
        return;
      }
      const at = issuer;
      if (at === null) {
        if (standing !== 'unknown') return again(ask, calls);
        const free = [...servers.values()].find(
          ({running, info}) =>
            running.size < SLOTS && !excluded.includes(info.id),
        );
        if (free === undefined) return again(ask, calls);
        return run(ask, free.info.id, false, how => finish(how, attempts));
      }
      const isTrial = standing === 'suspected';
      let giveBack: (how: SlotOutcome, tookMs: number) => void = quiet;
      const take = (reply: SlotReply): void => {
        if (reply.kind !== 'granted') return again(ask, calls);
        const {server} = reply;
        if (own.standingOf(ask.contents) !== standing) {
          giveBack('cancelled', 0);
          return tryOnce(attempts);
        }
        run(ask, server, isTrial, (how, tookMs) => {
          giveBack(how, tookMs);
          excluded.push(server);
          finish(how, attempts);
        });
      };
      clock.after(LINK_DELAY_MS, () => {
        giveBack = at.ask(
          {
            ...{id: 'r', service: SERVICE, key: null, priority: 0},
            ...{leftMs: 1_400, aimLeftMs: 500, askedMs: 0},
            ...{excluded: [...excluded], dataCentre: 'a'},
            ...(isTrial && {trial: ask.contents.anyQuery}),
          },
          reply => clock.after(LINK_DELAY_MS, () => take(reply)),
        );
      });
    };
    const finish = (how: SlotOutcome, attempts: number): void => {
      if (how === 'answered') outcome.normalServed++;
      else if (how === 'unreached') tryOnce(attempts);
      else if (attempts < MAX_ATTEMPTS) tryOnce(attempts + 1);
      else again(ask, calls);
    };
    tryOnce(1);
  };

  return {
    ...{clock, random, outcome, call},
    crashSome() {
      const all = [...servers.values()];
      all.slice(0, Math.ceil(all.length / 7)).forEach(end);
    },
    loseLeader() {
      leader = null;
      issuer?.close();
      issuer = null;
      clock.after(LEADERLESS_MS, () => lead(1 % load.routers));
    },
  };
}
