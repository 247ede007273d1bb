/** A led cell over simulated servers, with the clock in the test's hand. */
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

/** How long after `cleared` every order of a former leader has lapsed. */
export const FOREIGN_MS = 2040;

export interface Fixture {
  readonly clock: ManualClock;
  readonly fakes: FakeServers;
  /** The inventory's servers; a test assigns to change it. */
  servers: readonly Server[];
  readonly drains: Set<string>;
  readonly hosts: Host[];
  load: CellLoad;
  /** How long requests in flight take to finish. */
  drainMs: number;
  lead(options?: LeadOptions): Led;
  /** Ends a leadership; yields its last table. */
  stop(led: Led): Promise<ShardTable | null>;
  /** What broke the rules of ownership so far; empty is right. */
  readonly violations: ReadonlySet<string>;
  /** Moves time on in steps of 20 ms and checks locations at each. */
  advance(ms: number): Promise<void>;
}

export interface LeadOptions {
  readonly epoch?: number;
  readonly table?: ShardTable | null;
  readonly cleared?: Promise<void>;
}

/** One leadership, with what a test can do to it. */
export interface Led {
  readonly leader: CellLeader;
  readonly process: PausableProcess;
  /** When its authority ends, and whether the standby records. */
  readonly authority: {until: number; records: boolean};
  readonly gateClosed: ReadonlySet<ShardId>;
  /** The table as the standby has it. */
  recorded(): ShardTable | null;
  /** Server that the key would be sent to now, or the kind of its location. */
  where(key: string): string;
  /** Servers of all shards that can be served now. */
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
  const leds = new Set<Led>();

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

  const lead = (lead: LeadOptions = {}): Led => {
    const authority = {until: Infinity, records: true};
    const gateClosed = new Set<ShardId>();
    const process = createPausableProcess(clock, fakes.client);
    let recorded: ShardTable | null = null;
    const leader = startCellLeader({
      service,
      authority: {
        cell: CELL,
        epoch: lead.epoch ?? 1,
        mayAct: () => clock.now() < authority.until,
        record(table) {
          if (authority.records) recorded = table;
          return Promise.resolve(authority.records);
        },
      },
      inheritance: {
        table: lead.table ?? null,
        cleared: lead.cleared ?? Promise.resolve(),
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
      const {shards} = leader.describe();
      const servable = shards.filter(shard => shard.servable);
      return new Map(servable.map(({shard, server}) => [shard, server ?? '']));
    };
    const led: Led = {
      leader,
      process,
      authority,
      gateClosed,
      recorded: () => recorded,
      where(key) {
        const location = leader.led.locate(key);
        return location.kind === 'owned' ? location.server.name : location.kind;
      },
      owners,
      shardsOf: server =>
        [...owners()]
          .filter(([, name]) => name === server)
          .map(([shard]) => shard),
    };
    leds.add(led);
    return led;
  };

  const advance = async (ms: number): Promise<void> => {
    const end = clock.now() + ms;
    while (clock.now() < end) {
      await clock.advance(Math.min(STEP_MS, end - clock.now()));
      for (const led of leds) checker.checkLocations(led, fakes);
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
    lead,
    async stop(led) {
      const stopped = led.leader.stop();
      await advance(STEP_MS);
      leds.delete(led);
      return stopped;
    },
    violations: checker.violations,
    advance,
  };
  return fixture;
}

/** A cell's load with these hot keys. */
export function createLoad(hotKeys: readonly HotKey[] = []): CellLoad {
  const shards = hotKeys.map(({key, busy, rate}) => ({
    shard: `k:${key}`,
    busy,
    rate,
  }));
  return {shards, servers: [], hotKeys};
}

/** A key of a hash range. */
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
