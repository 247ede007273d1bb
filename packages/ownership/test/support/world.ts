import {sleep} from '@banyandrum/base/clock.js';
import {createSilentLogger} from '@banyandrum/base/logger.js';
import type {Incarnation} from '@banyandrum/base/ids.js';
import {encodeRecord} from '@banyandrum/config/codec.js';
import {EMPTY_STATE} from '@banyandrum/config/fold.js';
import {encodeState} from '@banyandrum/config/snapshot.js';
import type {ClusterState} from '@banyandrum/config/state.js';
import type {Host} from '@banyandrum/hosts/client.js';
import type {StartCell} from '@banyandrum/ownership/leadership.js';
import type {Ownership} from '@banyandrum/ownership/run-ownership.js';
import {createOwnership} from '@banyandrum/ownership/run-ownership.js';
import type {ShardTable} from '@banyandrum/ownership/table.js';
import {deriveTiming} from '@banyandrum/ownership/timing.js';
import type {ManualClock} from '@banyandrum/standins/manual-clock.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';
import type {FakeLog, LogFaults} from './fake-log.js';
import {createFakeStore} from './fake-log.js';
import type {Endpoint, Network} from './network.js';
import {createFakePeers, createNetwork} from './network.js';
import type {FakeProcess} from './process.js';
import {createFakeProcess} from './process.js';

/** One process that was started to lead a cell. */
export interface FakeLeader {
  readonly host: string;
  readonly cell: string;
  readonly epoch: number;
  readonly process: FakeProcess;
  /** The table that it started from. */
  readonly inherited: ShardTable | null;
  mayAct(): boolean;
  isCleared(): boolean;
}

interface MutableFakeLeader extends FakeLeader {
  readonly name: string;
  cleared: boolean;
  /** Newest version of the table that was acknowledged. */
  recordedVersion: number;
  /** The version that a successor started from. */
  successorVersion: number;
}

export interface FakeRouter {
  readonly process: FakeProcess;
  readonly ownership: Ownership;
}

/** Several routers in one test, on one manual clock. */
export interface FakeCluster {
  readonly clock: ManualClock;
  readonly network: Network;
  readonly log: FakeLog;
  readonly faults: LogFaults;
  readonly leaders: readonly FakeLeader[];
  /** What went wrong with "one holder at most", if anything. */
  readonly violations: readonly string[];
  /** Starts, or starts anew, the router on a host. */
  start(host: string): FakeRouter;
  router(host: string): FakeRouter;
  hosts: Host[];
  /** The holder that may act for the cell without limits, or null. */
  activeLeader(cell?: string): FakeLeader | null;
  /** An operator's word that a run is lost. */
  attest(incarnation: Incarnation): void;
  /** An operator drains a router. */
  drain(host: string): void;
  /** How often the router on a host withdrew its consent. */
  withdrawals(host: string): number;
  /** Advances until the condition holds; ms that took, -1 after `limit`. */
  waitUntil(condition: () => boolean, limitMs: number): Promise<number>;
  /** Advances; yields the longest time without an acting holder, in ms. */
  longestGap(ms: number): Promise<number>;
}

export interface FakeClusterOptions {
  readonly hosts: readonly string[];
  readonly cells?: number;
  readonly checksFences?: boolean;
  /** Between two changes of a cell's table; none by default. */
  readonly changeMs?: number;
  readonly random?: () => number;
  /** Speeds of the routers' clocks, in the order of the hosts. */
  readonly rates?: readonly number[];
}

const STEP_MS = 10;
const CHANGE = {changeId: 'c1', author: 'ann', reason: 'test', at: 'now'};
export const CELL = 'holds/0';

export function createFakeCluster(options: FakeClusterOptions): FakeCluster {
  const clock = createManualClock();
  const network = createNetwork(clock);
  const log: FakeLog = [];
  const faults: LogFaults = {
    refuses: false,
    losesReplies: false,
    onAppend: () => {},
    appendDelay: () => 0,
  };
  const endpoints = new Map<string, Endpoint>();
  const routers = new Map<string, FakeRouter>();
  const holders: MutableFakeLeader[] = [];
  const violations: string[] = [];
  const initial = initialState(options);
  const withdrawals = new Map<string, number>();
  let boots = 0;

  const violate = (what: string): void =>
    void violations.push(`${clock.now().toFixed(0)} ms: ${what}`);
  const check = (): void => {
    const found = findViolation(holders);
    if (found) violate(found);
  };
  // Checks after every single timer, since what one event makes possible
  // may be over before the next.
  const checked: ManualClock = {
    ...clock,
    after: (ms, task) =>
      clock.after(ms, () => {
        task();
        setImmediate(() => setImmediate(check));
      }),
  };

  const start = (host: string): FakeRouter => {
    routers.get(host)?.process.kill();
    const incarnation = incarnationOf(host, ++boots);
    const rate = options.rates?.[options.hosts.indexOf(host)] ?? 1;
    const process = createFakeProcess(checked, incarnation, rate);
    const ownership = createOwnership({
      self: incarnation,
      store: createFakeStore(process, network, log, faults, initial),
      hosts: {current: () => world.hosts},
      peers: createFakePeers(process, network, endpoints),
      clock: process.clock,
      log: {
        ...createSilentLogger(),
        warn(message) {
          if (message !== 'leader lost') return;
          withdrawals.set(host, (withdrawals.get(host) ?? 0) + 1);
        },
      },
      timing: deriveTiming(initial.rules.timing),
      startCell: createStartCell(process, holders, violate, options.changeMs),
      encodeState,
      random: options.random ?? (() => 0.5),
    });
    endpoints.set(incarnation.address, {
      process,
      handlers: () => ownership.handlers,
    });
    const router = {process, ownership};
    routers.set(host, router);
    return router;
  };

  const world: FakeCluster = {
    ...{clock: checked, network, log, faults, leaders: holders, violations, start},
    hosts: options.hosts.map(toHost),
    router(host) {
      const router = routers.get(host);
      if (!router) throw new Error(`no router on ${host}`);
      return router;
    },
    attest({host, boot}) {
      log.push(encodeRecord({kind: 'attestation', host, boot, ...CHANGE}));
    },
    drain(target) {
      const drain = {target, draining: true};
      log.push(encodeRecord({kind: 'drain', ...drain, ...CHANGE}));
    },
    withdrawals: host => withdrawals.get(host) ?? 0,
    activeLeader: (cell = CELL) =>
      holders.find(h => h.cell === cell && isActive(h)) ?? null,
    async waitUntil(condition, limitMs) {
      for (let ms = 0; ms <= limitMs; ms += STEP_MS) {
        if (condition()) return ms;
        await clock.advance(STEP_MS);
      }
      return -1;
    },
    async longestGap(ms) {
      let longest = 0;
      let gap = 0;
      for (let spent = 0; spent < ms; spent += STEP_MS) {
        await clock.advance(STEP_MS);
        gap = world.activeLeader() === null ? gap + STEP_MS : 0;
        longest = Math.max(longest, gap);
      }
      return longest;
    },
  };
  for (const host of options.hosts) start(host);
  return world;
}

/** May act, at servers that do not check fences too. */
function isActive(holder: FakeLeader): boolean {
  const {process} = holder;
  const runs = process.isAlive() && !process.isPaused();
  return runs && holder.isCleared() && holder.mayAct();
}

function findViolation(holders: readonly FakeLeader[]): string | null {
  const able = holders.filter(h => h.process.isAlive() && h.mayAct());
  for (const newer of able) {
    if (!newer.isCleared()) continue;
    const older = able.find(
      ({cell, epoch}) => cell === newer.cell && epoch < newer.epoch,
    );
    if (!older) continue;
    const name = (h: FakeLeader): string => `${h.host} (epoch ${h.epoch})`;
    return `${name(older)} and ${name(newer)} may both act`;
  }
  return null;
}

const RETRY_MS = 50;

/** Stands for the cell's leader: changes the table from time to time. */
function createStartCell(
  process: FakeProcess,
  holders: MutableFakeLeader[],
  violate: (what: string) => void,
  changeMs: number | undefined,
): StartCell {
  return ({cell, authority, inheritance, signal}) => {
    const {table: inherited, cleared} = inheritance;
    const name = `${process.incarnation.host} #${holders.length}`;
    let version = inherited?.version ?? 0;
    const table = (): ShardTable => {
      const {epoch} = authority;
      const owner = {shard: '0', server: name, next: null};
      const entries = [{...owner, state: 'held'} as const];
      return {cell, epoch, version, entries, fences: new Map()};
    };
    const holder: MutableFakeLeader = {
      name,
      host: process.incarnation.host,
      cell,
      get epoch() {
        return authority.epoch;
      },
      process,
      inherited,
      recordedVersion: 0,
      successorVersion: Infinity,
      mayAct: authority.mayAct,
      cleared: false,
      isCleared: () => holder.cleared,
    };
    const change = async (): Promise<boolean> => {
      const wanted = ++version;
      if (!(await authority.record(table()))) return false;
      holder.recordedVersion = wanted;
      if (wanted > holder.successorVersion) violate(`${name} lost a change`);
      return true;
    };
    const run = async (): Promise<void> => {
      await cleared;
      holder.cleared = true;
      while (!signal.aborted) {
        const isRecorded = await change();
        if (isRecorded && changeMs === undefined) return;
        await sleep(process.clock, changeMs ?? RETRY_MS, signal);
      }
    };
    if (inherited) checkInheritedTable(holders, inherited, violate);
    holders.push(holder);
    void run();
    const locate = (): never => {
      throw new Error('not part of these tests');
    };
    return {
      led: {cell, epoch: authority.epoch, locate, mayAct: authority.mayAct},
      stop: () => Promise.resolve(table()),
    };
  };
}

/** A table that is taken over must have every change that was recorded. */
function checkInheritedTable(
  holders: readonly MutableFakeLeader[],
  table: ShardTable,
  violate: (what: string) => void,
): void {
  const [entry] = table.entries;
  const before = holders.find(({name}) => name === entry?.server);
  if (!before) return;
  before.successorVersion = table.version;
  if (before.recordedVersion > table.version) violate(`change of ${before.name} lost`);
}

function toHost(name: string, index: number): Host {
  const dataCentre = index % 2 === 0 ? 'dc-a' : 'dc-b';
  return {
    ...{name, address: `${name}:1`, dataCentre},
    role: 'router',
    state: 'live',
  };
}

function incarnationOf(host: string, boot: number): Incarnation {
  return {host, address: `${host}:1`, boot: String(boot), dataCentre: 'dc'};
}

function initialState(options: FakeClusterOptions): ClusterState {
  const {cells = 1, checksFences = false} = options;
  const holds = {name: 'holds', shards: 64, cells, checksFences};
  const inventory = {places: [], services: [holds], servers: []};
  return {...EMPTY_STATE, inventory};
}
