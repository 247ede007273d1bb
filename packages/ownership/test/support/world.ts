import {createSilentLogger} from '@banyandrum/base/logger.js';
import type {Incarnation} from '@banyandrum/base/ids.js';
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

/** One epoch that one router process was started to lead. */
export interface Holder {
  readonly host: string;
  readonly cell: string;
  readonly epoch: number;
  readonly process: FakeProcess;
  readonly table: ShardTable | null;
  readonly record: (table: ShardTable) => Promise<boolean>;
  mayAct(): boolean;
  isCleared(): boolean;
  /** World time at which it was cleared; null before. */
  readonly clearedAt: () => number | null;
}

export interface FakeRouter {
  readonly process: FakeProcess;
  readonly ownership: Ownership;
}

/** Several routers in one test, on one manual clock. */
export interface World {
  readonly clock: ManualClock;
  readonly network: Network;
  readonly log: FakeLog;
  readonly faults: LogFaults;
  readonly holders: readonly Holder[];
  /** What went wrong with "one holder at most", if anything. */
  readonly violations: readonly string[];
  /** Starts, or starts anew, the router on a host. */
  start(host: string, rate?: number): FakeRouter;
  router(host: string): FakeRouter;
  hosts: Host[];
  /** The holder that may act for the cell without limits, or null. */
  acting(cell?: string): Holder | null;
  /** Advances until the condition holds; ms that took, -1 after `limit`. */
  until(condition: () => boolean, limitMs: number): Promise<number>;
}

export interface WorldOptions {
  readonly hosts: readonly string[];
  readonly cells?: number;
  readonly random?: () => number;
}

const STEP_MS = 10;
export const CELL = 'holds/0';

export function createWorld(options: WorldOptions): World {
  const clock = createManualClock();
  const network = createNetwork(clock);
  const log: FakeLog = [];
  const faults: LogFaults = {
    refuses: false,
    losesReplies: false,
    appendDelay: () => 0,
  };
  const endpoints = new Map<string, Endpoint>();
  const routers = new Map<string, FakeRouter>();
  const holders: Holder[] = [];
  const violations: string[] = [];
  const initial = initialState(options.cells ?? 1);
  let boots = 0;

  const check = (): void => {
    const found = findViolation(holders);
    if (found) violations.push(`${clock.now().toFixed(0)} ms: ${found}`);
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

  const start = (host: string, rate = 1): FakeRouter => {
    routers.get(host)?.process.kill();
    const incarnation = incarnationOf(host, ++boots);
    const process = createFakeProcess(checked, incarnation, rate);
    const ownership = createOwnership({
      self: incarnation,
      store: createFakeStore(process, network, log, faults, initial),
      hosts: {current: () => world.hosts},
      peers: createFakePeers(process, network, endpoints),
      clock: process.clock,
      log: createSilentLogger(),
      timing: deriveTiming(initial.rules.timing),
      startCell: createStartCell(checked, process, holders),
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

  const world: World = {
    ...{clock: checked, network, log, faults, holders, violations, start},
    hosts: options.hosts.map(toHost),
    router(host) {
      const router = routers.get(host);
      if (!router) throw new Error(`no router on ${host}`);
      return router;
    },
    acting: (cell = CELL) =>
      holders.find(h => h.cell === cell && isActing(h)) ?? null,
    async until(condition, limitMs) {
      for (let ms = 0; ms <= limitMs; ms += STEP_MS) {
        if (condition()) return ms;
        await clock.advance(STEP_MS);
      }
      return -1;
    },
  };
  for (const host of options.hosts) start(host);
  return world;
}

/** May act, at servers that do not check fences too. */
function isActing(holder: Holder): boolean {
  return holder.process.isAlive() && holder.isCleared() && holder.mayAct();
}

function findViolation(holders: readonly Holder[]): string | null {
  const able = holders.filter(h => h.process.isAlive() && h.mayAct());
  for (const newer of able) {
    if (!newer.isCleared()) continue;
    const older = able.find(
      ({cell, epoch}) => cell === newer.cell && epoch < newer.epoch,
    );
    if (!older) continue;
    const name = (h: Holder): string => `${h.host} (epoch ${h.epoch})`;
    return `${name(older)} and ${name(newer)} may both act`;
  }
  return null;
}

function createStartCell(
  clock: ManualClock,
  process: FakeProcess,
  holders: Holder[],
): StartCell {
  return ({cell, authority, inheritance}) => {
    let clearedAt: number | null = null;
    let table = inheritance.table ?? emptyTable(cell, authority.epoch);
    void inheritance.cleared.then(() => (clearedAt = clock.now()));
    holders.push({
      host: process.incarnation.host,
      cell,
      epoch: authority.epoch,
      process,
      table: inheritance.table,
      async record(next) {
        const stored = await authority.record(next);
        if (stored) table = next;
        return stored;
      },
      mayAct: authority.mayAct,
      isCleared: () => clearedAt !== null,
      clearedAt: () => clearedAt,
    });
    const locate = (): never => {
      throw new Error('not part of these tests');
    };
    return {
      led: {cell, epoch: authority.epoch, locate, mayAct: authority.mayAct},
      stop: () => Promise.resolve(table),
    };
  };
}

export function emptyTable(cell: string, epoch: number): ShardTable {
  return {cell, epoch, version: 1, entries: [], fences: new Map()};
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

function initialState(cells: number): ClusterState {
  const holds = {name: 'holds', shards: 64, cells, checksFences: false};
  const inventory = {places: [], services: [holds], servers: []};
  return {...EMPTY_STATE, inventory};
}
