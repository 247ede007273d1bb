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

/** A process that was started to lead a cell. */
export interface FakeLeader {
  readonly host: string;
  readonly cell: string;
  readonly epoch: number;
  readonly process: FakeProcess;
  /** The table that it inherited; null if it had none. */
  readonly inherited: ShardTable | null;
  mayAct(): boolean;
  isCleared(): boolean;
}

interface MutableFakeLeader extends FakeLeader {
  readonly name: string;
  cleared: boolean;
  /** Newest version of its table that the standby acknowledged. */
  recordedVersion: number;
  /** Version of its table that a successor inherited; infinite until then. */
  successorVersion: number;
}

export interface FakeRouter {
  readonly process: FakeProcess;
  readonly ownership: Ownership;
}

/** Simulated routers on one manual clock. */
export interface FakeCluster {
  readonly clock: ManualClock;
  readonly network: Network;
  readonly log: FakeLog;
  readonly faults: LogFaults;
  readonly leaders: readonly FakeLeader[];
  /** Violations of the rule that a cell has at most one leader at a time. */
  readonly violations: readonly string[];
  /** Starts or restarts the router on a host. */
  start(host: string): FakeRouter;
  router(host: string): FakeRouter;
  hosts: Host[];
  /** The running leader that may act for the cell and is cleared, or null. */
  activeLeader(cell?: string): FakeLeader | null;
  /** Appends an operator's attestation that a router instance is lost. */
  attest(incarnation: Incarnation): void;
  /** Appends an operator's record that drains a router. */
  drain(host: string): void;
  /** How often the router on a host withdrew its consent. */
  withdrawals(host: string): number;
  /** Advances until the condition holds; returns the ms, or -1 on timeout. */
  waitUntil(condition: () => boolean, limitMs: number): Promise<number>;
  /** Advances; returns the longest time without an active leader, in ms. */
  longestGap(ms: number): Promise<number>;
}

export interface FakeClusterOptions {
  readonly hosts: readonly string[];
  readonly cells?: number;
  readonly checksFences?: boolean;
  /** Interval between changes of a table, in ms; only one change if omitted. */
  readonly changeMs?: number;
  readonly random?: () => number;
  /** Rates of the routers' clocks, in the order of the hosts; 1 by default. */
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
  const leaders: MutableFakeLeader[] = [];
  const violations: string[] = [];
  const initial = initialState(options);
  const withdrawals = new Map<string, number>();
  let boots = 0;

  const addViolation = (what: string): void =>
    void violations.push(`${clock.now().toFixed(0)} ms: ${what}`);
  const check = (): void => {
    const found = findViolation(leaders);
    if (found) addViolation(found);
  };
  // Checks after every timer, since a violation that one event causes may end
  // with the next one.
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
      hosts: {current: () => cluster.hosts},
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
      startCell: createStartCell(
        process,
        leaders,
        addViolation,
        options.changeMs,
      ),
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

  const cluster: FakeCluster = {
    ...{clock: checked, network, log, faults, leaders, violations, start},
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
      leaders.find(h => h.cell === cell && isActive(h)) ?? null,
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
        gap = cluster.activeLeader() === null ? gap + STEP_MS : 0;
        longest = Math.max(longest, gap);
      }
      return longest;
    },
  };
  for (const host of options.hosts) start(host);
  return cluster;
}

/** Whether it may act, also at servers that don't check fences. */
function isActive(leader: FakeLeader): boolean {
  const {process} = leader;
  const runs = process.isAlive() && !process.isPaused();
  return runs && leader.isCleared() && leader.mayAct();
}

function findViolation(leaders: readonly FakeLeader[]): string | null {
  const eligible = leaders.filter(h => h.process.isAlive() && h.mayAct());
  for (const newer of eligible) {
    if (!newer.isCleared()) continue;
    const older = eligible.find(
      ({cell, epoch}) => cell === newer.cell && epoch < newer.epoch,
    );
    if (!older) continue;
    const name = (h: FakeLeader): string => `${h.host} (epoch ${h.epoch})`;
    return `${name(older)} and ${name(newer)} may both act`;
  }
  return null;
}

const RETRY_MS = 50;

/** Creates a fake cell leader that changes its table once or periodically. */
function createStartCell(
  process: FakeProcess,
  leaders: MutableFakeLeader[],
  addViolation: (what: string) => void,
  changeMs: number | undefined,
): StartCell {
  return ({cell, authority, inheritance, signal}) => {
    const {table: inherited, cleared} = inheritance;
    const name = `${process.incarnation.host} #${leaders.length}`;
    let version = inherited?.version ?? 0;
    const table = (): ShardTable => {
      const {epoch} = authority;
      const owner = {shard: '0', server: name, next: null};
      const entries = [{...owner, state: 'held'} as const];
      return {cell, epoch, version, entries, fences: new Map()};
    };
    const leader: MutableFakeLeader = {
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
      isCleared: () => leader.cleared,
    };
    const change = async (): Promise<boolean> => {
      const wanted = ++version;
      if (!(await authority.record(table()))) return false;
      leader.recordedVersion = wanted;
      if (wanted > leader.successorVersion)
        addViolation(
          `a change of ${name} was lost: recorded after its table was inherited`,
        );
      return true;
    };
    const run = async (): Promise<void> => {
      await cleared;
      leader.cleared = true;
      while (!signal.aborted) {
        const isRecorded = await change();
        if (isRecorded && changeMs === undefined) return;
        await sleep(process.clock, changeMs ?? RETRY_MS, signal);
      }
    };
    if (inherited) checkInheritedTable(leaders, inherited, addViolation);
    leaders.push(leader);
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

/** Checks that an inherited table has every recorded change. */
function checkInheritedTable(
  leaders: readonly MutableFakeLeader[],
  table: ShardTable,
  addViolation: (what: string) => void,
): void {
  const [entry] = table.entries;
  const predecessor = leaders.find(({name}) => name === entry?.server);
  if (!predecessor) return;
  predecessor.successorVersion = table.version;
  if (predecessor.recordedVersion > table.version)
    addViolation(`a recorded change of ${predecessor.name} was lost`);
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
