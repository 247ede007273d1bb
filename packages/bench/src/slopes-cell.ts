import {fileURLToPath} from 'node:url';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {createClock} from '@banyandrum/base/clock.js';
import {createSilentLogger} from '@banyandrum/base/logger.js';
import type {Server, Service} from '@banyandrum/config/inventory.js';
import {DEFAULT_RULES} from '@banyandrum/config/default-rules.js';
import type {StateStore} from '@banyandrum/config/store.js';
import {EMPTY_STATE} from '@banyandrum/config/fold.js';
import {
  startCellLeader,
  type CellLeader,
} from '@banyandrum/ownership/cell-leader.js';
import {createServerClient} from '@banyandrum/servers/http-client.js';
import {startChild} from './child.js';
import {fitSeries, type Series} from './slopes-fit.js';
import {
  costOf,
  countBytes,
  ownUsage,
  pause,
  type Cost,
} from './slopes-probe.js';

const RUN_SERVERS = fileURLToPath(
  import.meta.resolve('@banyandrum/standins/run-servers.js'),
);
const SERVICE = 'holds';
const SERVERS = [4, 8, 16];
const SHARDS = [64, 256, 1_024];
/** The other size stays at these. */
const FEW_SERVERS = 4;
const FEW_SHARDS = 64;
const REPEATS = 2;
const PERIOD_MS = 4_000;
const SETTLE_MS = 10_000;

const clock = createClock();
const log = createSilentLogger();

/** A cell's leader with its servers, idle: renewals, load reports, plans. */
export async function measureCell(): Promise<readonly Series[]> {
  const bytes = countBytes();
  const folder = await mkdtemp(join(tmpdir(), 'banyandrum-'));
  const spec = join(folder, 'servers.json');
  const count = Math.max(...SERVERS);
  const group = {service: SERVICE, count, slots: 4, checksFences: true};
  await writeFile(spec, JSON.stringify({groups: [group]}));
  const child = await startChild({name: 'servers', args: [RUN_SERVERS, spec]});
  const {servers} = child.hello as {readonly servers: readonly Server[]};
  try {
    const byServers = await over(SERVERS, size =>
      lead(bytes, servers.slice(0, size), FEW_SHARDS),
    );
    const byShards = await over(SHARDS, size =>
      lead(bytes, servers.slice(0, FEW_SERVERS), size),
    );
    return [
      ...series('leader', 'servers', byServers),
      ...series('leader', 'shards', byShards),
    ];
  } finally {
    child.signal('SIGTERM');
    await child.exited;
    await rm(folder, {recursive: true});
  }
}

interface Row extends Cost {
  readonly x: number;
}

async function over(
  sizes: readonly number[],
  measure: (size: number) => Promise<readonly Cost[]>,
): Promise<readonly Row[]> {
  const rows: Row[] = [];
  for (const x of sizes) {
    for (const cost of await measure(x)) rows.push({x, ...cost});
  }
  return rows;
}

function series(
  name: string,
  of: string,
  rows: readonly Row[],
): readonly Series[] {
  const cpu = rows.map(({x, cpuUs}) => ({x, y: cpuUs}));
  const sent = rows.map(({x, bytes}) => ({x, y: bytes}));
  return [
    fitSeries(`${name} cpu by ${of}`, of, 'us/s', cpu),
    fitSeries(`${name} bytes by ${of}`, of, 'B/s', sent),
  ];
}

async function lead(
  bytes: () => number,
  servers: readonly Server[],
  shards: number,
): Promise<readonly Cost[]> {
  const client = createServerClient({clock});
  const leader = startLeader(client, servers, shards);
  await settle(leader);
  const costs: Cost[] = [];
  for (let i = 0; i < REPEATS; i++) {
    const before = ownUsage(bytes);
    await pause(PERIOD_MS);
    const after = ownUsage(bytes);
    costs.push(costOf(before, after, PERIOD_MS / 1_000));
  }
  await leader.stop();
  await client.close();
  return costs;
}

function startLeader(
  serverClient: ReturnType<typeof createServerClient>,
  started: readonly Server[],
  shards: number,
): CellLeader {
  const service: Service = {
    name: SERVICE,
    shards,
    cells: 1,
    checksFences: true,
  };
  const servers = started.map(server => ({
    ...server,
    place: 'place-1',
    connections: 55,
  }));
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
    log,
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

/** The servers obey growing epochs only. */
let epoch = 1;

async function settle(leader: CellLeader): Promise<void> {
  const end = clock.now() + SETTLE_MS;
  while (clock.now() < end) {
    if (leader.describe().shards.every(shard => shard.servable)) return;
    await pause(100);
  }
  throw new Error('not every shard has an owner');
}
