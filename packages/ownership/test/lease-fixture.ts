/** Fixture: one cell's leaders with simulated servers and a manual clock. */
import {rangeOf} from '@banyandrum/base/hash.js';
import type {ShardId} from '@banyandrum/base/ids.js';
import {createSilentLogger} from '@banyandrum/base/logger.js';
import type {Server, Service} from '@banyandrum/config/inventory.js';
import type {PlacementWeights, Timing} from '@banyandrum/config/rules.js';
import type {ClusterState} from '@banyandrum/config/state.js';
import type {StateStore} from '@banyandrum/config/store.js';
import type {Host} from '@banyandrum/hosts/client.js';
import {
  type ManualClock,
  createManualClock,
} from '@banyandrum/standins/manual-clock.js';
import {
  type CellLeader,
  startCellLeader,
} from '@banyandrum/ownership/cell-leader.js';
import type {
  CellLoad,
  DispatchGate,
  HotKey,
} from '@banyandrum/ownership/led-cell.js';
import type {ShardTable} from '@banyandrum/ownership/table.js';
import {type FakeServers, createFakeServers} from './fake-servers.js';
import {type PausableProcess, createPausableProcess} from './pausable.js';
import {createOwnershipChecker} from './ownership-checker.js';

export const CELL = 'holds/0';
export const SHARDS = 12;

export const TIMING: Timing = {
  renewMs: 500,
  leaseMs: 2000,
  authorityMs: 1000,
  suspicionMs: 750,
  driftPpm: 10000,
};

/** Time after `cleared` until all former leaders' leases have expired. */
export const FORMER_LEASES_MS = 2040;

export interface Fixture {
  readonly clock: ManualClock;
  readonly fakes: FakeServers;
  /** The servers in the inventory; tests assign a new list to change it. */
  servers: readonly Server[];
  readonly drains: Set<string>;
  readonly hosts: Host[];
  load: CellLoad;
  /** How long requests in flight take to finish. */
  drainMs: number;
  startLeader(options?: LeaderOptions): TestLeader;
  /** Stops a leader; resolves to its final table. */
  stop(leader: TestLeader): Promise<ShardTable | null>;
  /** Violations of the ownership rules so far; must stay empty. */
  readonly violations: ReadonlySet<string>;
  /** Advances the clock in steps of 20 ms and checks all locations at each. */
  advance(ms: number): Promise<void>;
}

export interface LeaderOptions {
  readonly epoch?: number;
  readonly table?: ShardTable | null;
  readonly cleared?: Promise<void>;
}

/** One leader of the cell, with controls for the test. */
export interface TestLeader {
  readonly leader: CellLeader;
  readonly process: PausableProcess;
  /** When its authority ends, and whether the standby records its tables. */
  readonly authority: {until: number; records: boolean};
  readonly gateClosed: ReadonlySet<ShardId>;
  /** The table that the standby recorded last. */
  recorded(): ShardTable | null;
  /** The server that owns the key, or the kind of its location if none does. */
  locationOf(key: string): string;
  /** The server of each shard that can be served now. */
  owners(): ReadonlyMap<ShardId, string>;
  shardsOf(server: string): readonly ShardId[];
}

export interface FixtureOptions {
  readonly names?: readonly string[];
  readonly checksFences?: boolean;
  readonly weights?: PlacementWeights;
  readonly paceOf?: (name: string) => number;
}

const STEP_MS = 20;

export function createFixture(options: FixtureOptions = {}): Fixture {
  const {names = ['a', 'b', 'c'], checksFences = true, paceOf} = options;
  const weights = options.weights ?? {imbalance: 1, churn: 1, unavailable: 1};
  const clock = createManualClock(5000);
  const checker = createOwnershipChecker(CELL, clock);
  const fakes = createFakeServers({
    clock,
    checksFences,
    clockRateOf: paceOf,
    onApplied: () => checker.checkLeases(fakes),
  });
  for (const name of names) fakes.add(name);
  const service: Service = {
    name: 'holds',
    shards: SHARDS,
    cells: 1,
    checksFences,
  };
  const leaders = new Set<TestLeader>();

  const store: StateStore = {
    current: () =>
      ({
        inventory: {places: [], services: [service], servers: fixture.servers},
        drains: fixture.drains,
        rules: {weights},
      }) as unknown as ClusterState,
    confirmedAt: () => clock.now(),
    subscribe: () => () => {},
    append: () => Promise.reject(new Error('not simulated')),
    adopt: () => false,
    close: () => Promise.resolve(),
  };

  const createGate = (closed: Set<ShardId>): DispatchGate => ({
    close(_, shard) {
      closed.add(shard);
      return new Promise(resolve => {
        clock.after(fixture.drainMs, resolve);
      });
    },
    open: (_, shard) => void closed.delete(shard),
  });

  const startLeader = (leaderOptions: LeaderOptions = {}): TestLeader => {
    const authority = {until: Infinity, records: true};
    const gateClosed = new Set<ShardId>();
    const process = createPausableProcess(clock, fakes.client);
    let recorded: ShardTable | null = null;
    const cellLeader = startCellLeader({
      service,
      authority: {
        cell: CELL,
        epoch: leaderOptions.epoch ?? 1,
        mayAct: () => clock.now() < authority.until,
        record(table) {
          if (authority.records) recorded = table;
          return Promise.resolve(authority.records);
        },
      },
      inheritance: {
        table: leaderOptions.table ?? null,
        cleared: leaderOptions.cleared ?? Promise.resolve(),
      },
      store,
      serverClient: process.client,
      hostWatch: {current: () => fixture.hosts},
      gate: createGate(gateClosed),
      loads: {read: () => fixture.load},
      clock: process.clock,
      log: createSilentLogger(),
      timing: TIMING,
      signal: new AbortController().signal,
    });
    const owners = (): ReadonlyMap<ShardId, string> => {
      const {shards} = cellLeader.describe();
      const servable = shards.filter(shard => shard.servable);
      return new Map(servable.map(({shard, server}) => [shard, server ?? '']));
    };
    const testLeader: TestLeader = {
      leader: cellLeader,
      process,
      authority,
      gateClosed,
      recorded: () => recorded,
      locationOf(key) {
        const location = cellLeader.led.locate(key);
        return location.kind === 'owned' ? location.server.name : location.kind;
      },
      owners,
      shardsOf: server =>
        [...owners()]
          .filter(([, name]) => name === server)
          .map(([shard]) => shard),
    };
    leaders.add(testLeader);
    return testLeader;
  };

  const advance = async (ms: number): Promise<void> => {
    const end = clock.now() + ms;
    while (clock.now() < end) {
      await clock.advance(Math.min(STEP_MS, end - clock.now()));
      for (const leader of leaders) checker.checkLocations(leader, fakes);
    }
  };

  const fixture: Fixture = {
    clock,
    fakes,
    servers: names.map(toServer),
    drains: new Set(),
    hosts: [],
    load: createLoad(),
    drainMs: 0,
    startLeader,
    async stop(leader) {
      const stopped = leader.leader.stop();
      await advance(STEP_MS);
      leaders.delete(leader);
      return stopped;
    },
    violations: checker.violations,
    advance,
  };
  return fixture;
}

/** Creates a cell load that consists of these hot keys. */
export function createLoad(hotKeys: readonly HotKey[] = []): CellLoad {
  const shards = hotKeys.map(({key, busy, rate}) => ({
    shard: `k:${key}`,
    busy,
    rate,
  }));
  return {shards, servers: [], hotKeys};
}

/** Finds a key that falls into the hash range. */
export function keyOf(shard: number): string {
  for (let index = 0; ; index++) {
    const key = `ward-${index}`;
    if (rangeOf(key, SHARDS) === shard) return key;
  }
}

export function toServer(name: string): Server {
  return {
    name,
    service: 'holds',
    place: 'naroda',
    address: `127.0.0.1:${9000 + name.charCodeAt(0)}`,
    slots: 4,
    connections: 55,
  };
}
