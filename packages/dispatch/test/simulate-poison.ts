import type {ServerInfo} from '@banyandrum/dispatch/backend.js';
import {createBackends} from '@banyandrum/dispatch/backends.js';
import type {ContentDigests} from '@banyandrum/dispatch/content-digests.js';
import {
  createSlotAllocator,
  type SlotAllocator,
} from '@banyandrum/slots/slot-allocator.js';
import type {SlotOutcome, SlotReply} from '@banyandrum/dispatch/slots.js';
import {shouldBroadcast} from '@banyandrum/dispatch/suspect.js';
import {createServerLimits} from '@banyandrum/dispatch/server-limits.js';
import {createSuspects, type Suspects} from '@banyandrum/dispatch/suspects.js';
import {
  createManualClock,
  type ManualClock,
} from '@banyandrum/standins/manual-clock.js';
import {createRandom} from '@banyandrum/standins/seeded-random.js';

/** Load of normal requests and poison requests, which crash servers. */
export interface PoisonLoad {
  readonly seed: number;
  readonly seconds: number;
  readonly routers: number;
  readonly servers: number;
  /** Number of distinct poison requests; each is sent ten times a second. */
  readonly poisonRequests: number;
  /** Normal requests per second, a tenth of which have the same content. */
  readonly normalPerSecond: number;
  /** Start of a period of `LEADERLESS_MS` without a leader, in ms. */
  readonly leaderLostAt?: number;
  /** Time at which a seventh of the servers crash, in ms. */
  readonly crashAt?: number;
}

/** Result of a simulation. */
export interface PoisonOutcome {
  /** Servers crashed by poison requests. */
  crashes: number;
  /**
   * Maximum time from the third crash by a poison request to its last send, ms.
   */
  lastSendMs: number;
  /** Sends of poison requests later than `LATE_MS` after their third crash. */
  lateSends: number;
  /** Normal requests sent. */
  normal: number;
  normalServed: number;
  /** Normal requests refused as quarantined. */
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

/** Time after the third crash until a poison request must be refused, in ms. */
export const LATE_MS = 3_000;
const LEADERLESS_MS = 1_700;
const SERVICE = 'desks';
const SLOTS = 4;
const WORK_MS = 90;
/** Time from the start of a poison request until its server crashes, in ms. */
const TIME_TO_CRASH_MS = 40;
/** Time until a crashed server is replaced, in ms. */
const RESTART_MS = 2_300;
/** One-way delay between routers, in ms. */
const LINK_DELAY_MS = 2;
/** Time to detect that an address refuses connections, in ms. */
const PROBE_MS = 2;
const MAX_ATTEMPTS = 2;
/** Calls per caller, and mean delay between them, in ms. */
const CALLS = 3;
const RETRY_MS = 150;

/** Simulates the load on a manual clock. */
export async function simulatePoison(load: PoisonLoad): Promise<PoisonOutcome> {
  const simulation = createSimulation(load);
  const {clock, random} = simulation;
  const {seconds, poisonRequests, routers} = load;
  for (let at = 0; at < seconds * 1_000; at += 100) {
    for (let number = 0; number < poisonRequests; number++) {
      clock.after(at + random() * 100, () =>
        simulation.call({
          contents: contentsOf(`bad${number}`, Math.floor(random() * 40)),
          ...{poisonId: number, router: Math.floor(random() * routers)},
        }),
      );
    }
  }
  for (let at = 0; at < load.normalPerSecond * seconds; at++) {
    const path = random() < 0.1 ? 'busy' : `good${at}`;
    clock.after(random() * seconds * 1_000, () =>
      simulation.call({
        contents: contentsOf(path, Math.floor(random() * 40)),
        ...{poisonId: null, router: Math.floor(random() * routers)},
      }),
    );
  }
  if (load.crashAt !== undefined)
    clock.after(load.crashAt, simulation.crashSome);
  if (load.leaderLostAt !== undefined) {
    clock.after(load.leaderLostAt, simulation.loseLeader);
  }
  await clock.advance(seconds * 1_000 + 5_000);
  return simulation.outcome;
}

function contentsOf(path: string, caller: number): ContentDigests {
  return {exact: `${path} ${caller}`, anyCaller: `${path} any`, anyQuery: path};
}

interface Simulation {
  readonly clock: ManualClock;
  readonly random: () => number;
  readonly outcome: PoisonOutcome;
  call(request: SimulatedRequest): void;
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
  const crashCounts = new Map<number, CrashCount>();
  const outcome: PoisonOutcome = {
    ...{crashes: 0, lastSendMs: 0, lateSends: 0},
    ...{normal: 0, normalServed: 0, normalRefused: 0},
  };
  const broadcastDigests = new Set<string>();
  let started = 0;
  let leader: number | null = 0;
  let allocator: SlotAllocator | null = null;

  const lead = (router: number): void => {
    leader = router;
    allocator = createSlotAllocator({
      ...{backends, clock, emit: quiet, suspects: tables[router]!},
      limits,
      ownerOf: () => ({kind: 'none'}),
      onNotHeld: () => undefined,
    });
    // Followers send their rows to the new leader.
    for (const table of tables) tables[router]!.merge(table.rows());
    tables[router]!.applyQuarantineRules();
  };

  tables.forEach((table, router) =>
    table.subscribe((rows, isOwn) => {
      if (leader === router) {
        table.applyQuarantineRules();
        for (const row of table.rows()) {
          if (shouldBroadcast(row)) broadcastDigests.add(row.content);
        }
        const broadcastRows = table
          .rows()
          .filter(({content}) => broadcastDigests.has(content));
        clock.after(LINK_DELAY_MS, () =>
          tables.forEach(each => each.merge(broadcastRows)),
        );
      } else if (isOwn) {
        const to = leader;
        if (to !== null)
          clock.after(LINK_DELAY_MS, () => tables[to]!.merge(rows));
      }
    }),
  );

  const updateList = (): void =>
    backends.update([...servers.values()].map(({info}) => info));
  const start = (): void => {
    const id = `s${started++}`;
    const info: ServerInfo = {
      ...{id, service: SERVICE, address: `10.0.0.1:${started}`},
      ...{dataCentre: 'a', slots: SLOTS, isLeaving: false, coldUntil: 0},
    };
    servers.set(id, {info, running: new Set()});
    updateList();
  };
  const crash = (server: Server): void => {
    if (!servers.delete(server.info.id)) return;
    for (const onCrash of server.running) onCrash();
    clock.after(500, updateList);
    clock.after(RESTART_MS, start);
  };
  for (let at = 0; at < load.servers; at++) start();
  lead(0);

  const noteSend = (poisonId: number): void => {
    const count = crashCounts.get(poisonId);
    if (count === undefined || count.crashes < 3) return;
    const ms = clock.now() - count.thirdCrashAt;
    outcome.lastSendMs = Math.max(outcome.lastSendMs, ms);
    if (ms > LATE_MS) outcome.lateSends++;
  };
  const noteCrash = (poisonId: number): void => {
    const count = crashCounts.get(poisonId) ?? {crashes: 0, thirdCrashAt: 0};
    crashCounts.set(poisonId, count);
    count.crashes++;
    if (count.crashes === 3) count.thirdCrashAt = clock.now();
    outcome.crashes++;
  };

  /** Runs one attempt at a server. */
  const run = (
    request: SimulatedRequest,
    id: string,
    isTrial: boolean,
    done: (slotOutcome: SlotOutcome, tookMs: number) => void,
  ): void => {
    const server = servers.get(id);
    const table = tables[request.router]!;
    if (server === undefined) {
      return void clock.after(PROBE_MS, () => done('unreached', 0));
    }
    const startedAt = clock.now();
    if (request.poisonId !== null) noteSend(request.poisonId);
    const onCrash = (): void => {
      cancel();
      clock.after(PROBE_MS, () => {
        const about = {caller: 'c', service: SERVICE, route: 'r'};
        table.addStrike({...about, contents: request.contents}, id, isTrial);
        done('lost', clock.now() - startedAt);
      });
    };
    server.running.add(onCrash);
    const workMs = WORK_MS * (0.5 + random());
    const cancel = clock.after(
      request.poisonId === null ? workMs : TIME_TO_CRASH_MS,
      () => {
        if (request.poisonId !== null) {
          noteCrash(request.poisonId);
          return crash(server);
        }
        server.running.delete(onCrash);
        table.clearAnswered(request.contents);
        done('answered', clock.now() - startedAt);
      },
    );
  };

  const call = (request: SimulatedRequest): void => {
    if (request.poisonId === null) outcome.normal++;
    attemptCall(request, 1);
  };

  const retry = (request: SimulatedRequest, calls: number): void => {
    if (calls >= CALLS) return;
    const router = Math.floor(random() * load.routers);
    clock.after(RETRY_MS * (0.5 + random()), () =>
      attemptCall({...request, router}, calls + 1),
    );
  };

  const attemptCall = (request: SimulatedRequest, calls: number): void => {
    const table: Suspects = tables[request.router]!;
    const excluded: string[] = [];
    const tryOnce = (attempts: number): void => {
      const standing = table.standingOf(request.contents);
      if (standing === 'quarantined') {
        if (request.poisonId === null) outcome.normalRefused++;
        return;
      }
      const current = allocator;
      if (current === null) {
        if (standing !== 'unknown') return retry(request, calls);
        const free = [...servers.values()].find(
          ({running, info}) =>
            running.size < SLOTS && !excluded.includes(info.id),
        );
        if (free === undefined) return retry(request, calls);
        return run(request, free.info.id, false, slotOutcome =>
          finish(slotOutcome, attempts),
        );
      }
      const isTrial = standing === 'suspected';
      let release: (slotOutcome: SlotOutcome, tookMs: number) => void = quiet;
      const handleReply = (reply: SlotReply): void => {
        if (reply.kind !== 'granted') return retry(request, calls);
        const {server} = reply;
        if (table.standingOf(request.contents) !== standing) {
          release('cancelled', 0);
          return tryOnce(attempts);
        }
        run(request, server, isTrial, (slotOutcome, tookMs) => {
          release(slotOutcome, tookMs);
          excluded.push(server);
          finish(slotOutcome, attempts);
        });
      };
      clock.after(LINK_DELAY_MS, () => {
        release = current.ask(
          {
            ...{id: 'r', service: SERVICE, key: null, priority: 0},
            ...{leftMs: 1_400, aimLeftMs: 500, askedMs: 0},
            ...{excluded: [...excluded], dataCentre: 'a'},
            ...(isTrial && {trial: request.contents.anyQuery}),
          },
          reply => clock.after(LINK_DELAY_MS, () => handleReply(reply)),
        );
      });
    };
    const finish = (slotOutcome: SlotOutcome, attempts: number): void => {
      if (slotOutcome === 'answered') outcome.normalServed++;
      else if (slotOutcome === 'unreached') tryOnce(attempts);
      else if (attempts < MAX_ATTEMPTS) tryOnce(attempts + 1);
      else retry(request, calls);
    };
    tryOnce(1);
  };

  return {
    ...{clock, random, outcome, call},
    crashSome() {
      const all = [...servers.values()];
      all.slice(0, Math.ceil(all.length / 7)).forEach(crash);
    },
    loseLeader() {
      leader = null;
      allocator?.close();
      allocator = null;
      clock.after(LEADERLESS_MS, () => lead(1 % load.routers));
    },
  };
}
