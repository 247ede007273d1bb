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
import type {Inheritance} from '@banyandrum/ownership/authority.js';
import {
  type CellLeader,
  startCellLeader,
} from '@banyandrum/ownership/cell-leader.js';
import type {CellLoad} from '@banyandrum/ownership/led-cell.js';
import type {ShardTable} from '@banyandrum/ownership/table.js';
import {type FakeServers, createFakeServers} from './fake-servers.js';

export const CELL = 'holds/0';
export const SERVICE = 'holds';
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
  /** Names of the inventory's servers; assign to change it. */
  setServers(names: readonly string[]): void;
  readonly drains: Set<string>;
  readonly hosts: Host[];
  readonly load: {current: CellLoad};
  readonly gate: {readonly closed: Set<ShardId>; holdMs: number};
  lead(options?: LeadOptions): Led;
  /** Ends a leadership; yields its last table. */
  stop(led: Led): Promise<ShardTable>;
  /** Shards that two servers believe to own, seen at any time so far. */
  readonly doubled: Set<string>;
  /** Moves time on in steps of 5 ms and looks for double owners at each. */
  advance(ms: number): Promise<void>;
}

export interface LeadOptions {
  readonly epoch?: number;
  readonly table?: ShardTable | null;
  readonly cleared?: Promise<void>;
}

/** One leadership, with what a test can do to its authority. */
export interface Led {
  readonly leader: CellLeader;
  readonly authority: {may: boolean; records: boolean};
  /** The table as the standby has it. */
  recorded(): ShardTable | null;
  /** Server that the key would be sent to now, or the kind of its location. */
  where(key: string): string;
  owners(): ReadonlyMap<ShardId, string>;
}

export interface FixtureOptions {
  readonly names?: readonly string[];
  readonly checksFences?: boolean;
  readonly weights?: PlacementWeights;
  readonly paceOf?: (name: string) => number;
}

export const NO_LOAD: CellLoad = {shards: [], servers: [], hotKeys: []};

const STEP_MS = 5;

export function createFixture(options: FixtureOptions = {}): Fixture {
  const {names = ['a', 'b', 'c'], checksFences = true, paceOf} = options;
  const weights = options.weights ?? {imbalance: 1, churn: 1, unavailable: 1};
  const clock = createManualClock(5000);
  const fakes = createFakeServers(clock, names, checksFences, paceOf);
  const service: Service = {
    name: SERVICE,
    shards: SHARDS,
    cells: 1,
    checksFences,
  };
  const drains = new Set<string>();
  const hosts: Host[] = [];
  const load = {current: NO_LOAD};
  const gate = {closed: new Set<ShardId>(), holdMs: 0};
  const doubled = new Set<string>();
  let servers = names.map(toServer);

  const store: StateStore = {
    current: () =>
      ({
        inventory: {places: [], services: [service], servers},
        drains,
        rules: {weights},
      }) as unknown as ClusterState,
    confirmedAt: () => clock.now(),
    subscribe: () => () => {},
    append: () => Promise.reject(new Error('not simulated')),
    adopt: () => false,
    close: () => Promise.resolve(),
  };

  const lead = (lead: LeadOptions = {}): Led => {
    const authority = {may: true, records: true};
    let recorded: ShardTable | null = null;
    const inheritance: Inheritance = {
      table: lead.table ?? null,
      cleared: lead.cleared ?? Promise.resolve(),
    };
    const leader = startCellLeader({
      service,
      authority: {
        cell: CELL,
        epoch: lead.epoch ?? 1,
        mayAct: () => authority.may,
        record(table) {
          if (authority.records) recorded = table;
          return Promise.resolve(authority.records);
        },
      },
      inheritance,
      store,
      serverClient: fakes.client,
      hostWatch: {current: () => hosts},
      gate: {
        close(_, shard) {
          gate.closed.add(shard);
          return new Promise(resolve => {
            clock.after(gate.holdMs, resolve);
          });
        },
        open: (_, shard) => void gate.closed.delete(shard),
      },
      loads: {read: () => load.current},
      clock,
      log: createSilentLogger(),
      timing: TIMING,
      signal: new AbortController().signal,
    });
    const where = (key: string): string => {
      const location = leader.led.locate(key);
      return location.kind === 'owned' ? location.server.name : location.kind;
    };
    return {
      leader,
      authority,
      recorded: () => recorded,
      where,
      owners: () =>
        new Map(
          leader
            .describe()
            .shards.filter(({servable}) => servable)
            .map(({shard, server}) => [shard, server ?? '']),
        ),
    };
  };

  const look = (): void => {
    const owners = new Map<ShardId, string>();
    for (const server of fakes.servers.values()) {
      for (const shard of server.believes(CELL)) {
        const other = owners.get(shard);
        if (other === undefined) owners.set(shard, server.name);
        else doubled.add(`${shard}: ${other} and ${server.name}`);
      }
    }
  };

  const advance = async (ms: number): Promise<void> => {
    const end = clock.now() + ms;
    while (clock.now() < end) {
      await clock.advance(Math.min(STEP_MS, end - clock.now()));
      look();
    }
  };

  const stop = async (led: Led): Promise<ShardTable> => {
    const stopped = led.leader.stop();
    await advance(STEP_MS);
    return stopped;
  };

  return {
    clock,
    fakes,
    stop,
    setServers(next) {
      servers = next.map(toServer);
    },
    drains,
    hosts,
    load,
    gate,
    lead,
    doubled,
    advance,
  };
}

/** A key of each hash range. */
export function keyOf(shard: number): string {
  for (let index = 0; ; index++) {
    const key = `ward-${index}`;
    if (rangeOf(key, SHARDS) === shard) return key;
  }
}

function toServer(name: string, index: number): Server {
  return {
    name,
    service: SERVICE,
    place: 'naroda',
    address: `127.0.0.1:${9000 + index}`,
    slots: 4,
    connections: 55,
  };
}
