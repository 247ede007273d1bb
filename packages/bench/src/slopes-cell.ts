import {fileURLToPath} from 'node:url';
import {createClock} from '@banyandrum/base/clock.js';
import {createSilentLogger} from '@banyandrum/base/logger.js';
import {DEFAULT_RULES} from '@banyandrum/config/default-rules.js';
import {EMPTY_STATE} from '@banyandrum/config/fold.js';
import type {Server, Service} from '@banyandrum/config/inventory.js';
import type {StateStore} from '@banyandrum/config/store.js';
import {
  startCellLeader,
  type CellLeader,
} from '@banyandrum/ownership/cell-leader.js';
import {createServerClient} from '@banyandrum/servers/http-client.js';
import {startChild} from './child.js';
import type {Series} from './slopes-fit.js';
import {pause, readOwn, sweep, type Work} from './slopes-sweep.js';

const RUN_SERVERS = fileURLToPath(
  import.meta.resolve('@banyandrum/standins/run-servers.js'),
);
const SERVICE = 'holds';
const FEW_SERVERS = 4;
const FEW_SHARDS = 64;
const IDLE_S = 3;
const SETTLE_MS = 10_000;

const clock = createClock();

/** A cell's leader with its servers, idle: renewals, load reports, plans. */
export async function measureCell(): Promise<readonly Series[]> {
  const own = readOwn();
  const read = async () => [own()];
  const args = [RUN_SERVERS, '--service', SERVICE, '--count', '16'];
  const child = await startChild({
    name: 'servers',
    args: [...args, '--checks-fences'],
  });
  const {servers} = child.hello as {readonly servers: readonly Server[]};
  const common = {per: IDLE_S, unit: '/s'};
  const byServers = await sweep(read, [''], {
    ...common,
    name: 'leader by servers',
    of: 'servers',
    sizes: [4, 8, 16],
    open: size => lead(servers.slice(0, size), FEW_SHARDS),
  });
  const byShards = await sweep(read, [''], {
    ...common,
    name: 'leader by shards',
    of: 'shards',
    sizes: [64, 256, 1_024],
    open: size => lead(servers.slice(0, FEW_SERVERS), size),
  });
  child.signal('SIGTERM');
  await child.exited;
  return [...byServers, ...byShards];
}

/** The servers obey growing epochs only. */
let epoch = 1;

async function lead(servers: readonly Server[], shards: number): Promise<Work> {
  const client = createServerClient({clock});
  const leader = startLeader(client, servers, shards);
  const end = clock.now() + SETTLE_MS;
  while (!leader.describe().shards.every(shard => shard.servable)) {
    if (clock.now() > end) throw new Error('not every shard has an owner');
    await pause(100);
  }
  return {
    run: () => pause(IDLE_S * 1_000),
    async close() {
      await leader.stop();
      await client.close();
    },
  };
}

function startLeader(
  serverClient: ReturnType<typeof createServerClient>,
  started: readonly Server[],
  shards: number,
): CellLeader {
  const fixed = {cells: 1, checksFences: true};
  const service: Service = {name: SERVICE, shards, ...fixed};
  const place = {place: 'place-1', connections: 55};
  const servers = started.map(server => ({...server, ...place}));
  const inventory = {places: [], services: [service], servers};
  const state = {...EMPTY_STATE, inventory};
  const store = {
    current: () => state,
    confirmedAt: () => clock.now(),
    subscribe: () => () => {},
  } as unknown as StateStore;
  return startCellLeader({
    service,
    store,
    serverClient,
    clock,
    log: createSilentLogger(),
    authority: {
      cell: `${SERVICE}/0`,
      epoch: epoch++,
      mayAct: () => true,
      record: () => Promise.resolve(true),
    },
    inheritance: {table: null, cleared: Promise.resolve()},
    hostWatch: {current: () => []},
    gate: {close: () => Promise.resolve(), open: () => {}},
    loads: {read: () => ({shards: [], servers: [], hotKeys: []})},
    timing: DEFAULT_RULES.timing,
    signal: new AbortController().signal,
  });
}
