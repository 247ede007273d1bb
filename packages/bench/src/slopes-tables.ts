import {createId} from '@banyandrum/base/ids.js';
import {cellOfKey} from '@banyandrum/base/hash.js';
import {decodeRecord, encodeRecord} from '@banyandrum/config/codec.js';
import {applyRecord, EMPTY_STATE} from '@banyandrum/config/fold.js';
import {decodeState, encodeState} from '@banyandrum/config/snapshot.js';
import {statusMessage} from '@banyandrum/operators/messages.js';
import {fitSeries, type Point, type Series} from './slopes-fit.js';
import {
  cellAt,
  claimAt,
  publicationOf,
  routerAt,
  stateOf,
} from './slopes-fixture.js';
import {cpuOf, heapOf} from './slopes-sweep.js';

const SIZES = [300, 1_000, 2_000, 4_700];
// An inventory file may have 512 KiB at most, some 4,000 servers.
const SERVERS = [300, 1_000, 2_000, 3_500];
const CLAIMS = [1, 16, 64];
const REPEATS = 2;
const LOOKUPS = 10_000;
const SHARDS = 64;
const SERVERS_OF_CELL = 4;

/** Tables and codecs at their full size, in this process. */
export async function measureTables(): Promise<readonly Series[]> {
  const [most] = SIZES.slice(-1);
  const routers = Array.from({length: most!}, (_, i) => routerAt(i));
  const states = new Map(
    SIZES.map(cells => [cells, stateOf(routers, cells, 10)]),
  );
  const stateAt = (cells: number) => states.get(cells)!;
  const inventories = new Map(
    SERVERS.map(servers => [servers, stateOf(routers, 100, servers)]),
  );
  const inventoryAt = (servers: number) => inventories.get(servers)!;
  const claim = {...claimAt(routers, 0), previous: 2};
  const record = encodeRecord({kind: 'views', claims: [claim]});
  const publish = (servers: number) =>
    encodeRecord(publicationOf(1_000, servers));
  const viewsOf = (count: number): Uint8Array => {
    const claims = Array.from({length: count}, (_, i) => claimAt(routers, i));
    return encodeRecord({kind: 'views', claims});
  };
  return [
    over('lookup cpu', 'cells', 'us', SIZES, cells => {
      const {views} = stateAt(cells);
      const shards = cells * SHARDS;
      const keys = Array.from({length: LOOKUPS}, () => createId());
      const look = () => {
        for (const key of keys) views.get(cellOfKey('s', key, shards, cells));
      };
      return cpuOf(look) / LOOKUPS;
    }),
    over('views heap', 'cells', 'B', SIZES, cells =>
      // Decoded anew, since decoded views share no strings.
      heapOf(() => {
        const copy = decodeState(encodeState(stateAt(cells)))!;
        return copy.views;
      }),
    ),
    over('inventory heap', 'servers', 'B', SERVERS, servers =>
      heapOf(() => decodeState(encodeState(inventoryAt(servers)))),
    ),
    over('fold cpu', 'cells', 'us', SIZES, cells => {
      const state = stateAt(cells);
      return cpuOf(() => applyRecord(state, state.next, record));
    }),
    over('claims bytes', 'claims', 'B', CLAIMS, n => viewsOf(n).byteLength),
    over('claims cpu', 'claims', 'us', CLAIMS, n => {
      const bytes = viewsOf(n);
      return cpuOf(() => decodeRecord(bytes));
    }),
    over('publication bytes', 'servers', 'B', SERVERS, n => publish(n).length),
    over('publication cpu', 'servers', 'us', SERVERS, servers => {
      const bytes = publish(servers);
      return cpuOf(() => applyRecord(EMPTY_STATE, 1, bytes));
    }),
    over('snapshot bytes by cells', 'cells', 'B', SIZES, cells => {
      return encodeState(stateAt(cells)).length;
    }),
    over('snapshot bytes by servers', 'servers', 'B', SERVERS, servers => {
      return encodeState(inventoryAt(servers)).length;
    }),
    over('snapshot encode cpu', 'cells', 'us', SIZES, cells =>
      cpuOf(() => encodeState(stateAt(cells))),
    ),
    over('snapshot decode cpu', 'cells', 'us', SIZES, cells => {
      const encoded = encodeState(stateAt(cells));
      return cpuOf(() => decodeState(encoded));
    }),
    over(
      'snapshot decode cpu by servers',
      'servers',
      'us',
      SERVERS,
      servers => {
        const encoded = encodeState(inventoryAt(servers));
        return cpuOf(() => decodeState(encoded));
      },
    ),
    over('status bytes', 'cells', 'B', SIZES.slice(0, 3), cells => {
      return JSON.stringify(statusOf(cells)).length;
    }),
    over('status cpu', 'cells', 'us', SIZES.slice(0, 3), cells => {
      const text = JSON.stringify(statusOf(cells));
      const once = () => JSON.stringify(statusMessage.parse(JSON.parse(text)));
      return cpuOf(once);
    }),
  ];
}

function over(
  name: string,
  of: string,
  unit: string,
  sizes: readonly number[],
  measure: (size: number) => number,
): Series {
  const points: Point[] = [];
  for (let i = 0; i < REPEATS; i++) {
    for (const x of sizes) points.push({x, y: measure(x)});
  }
  return fitSeries(name, of, unit, points);
}

/** What the operators' interface answers for so many cells and routers. */
function statusOf(cells: number): unknown {
  const shards = Array.from({length: SHARDS}, (_, i) => ({
    shard: String(i),
    owner: `server-${i % SERVERS_OF_CELL}`,
    state: 'held',
  }));
  const servers = Array.from({length: SERVERS_OF_CELL}, (_, i) => ({
    server: `server-${i}`,
    state: 'ok',
    inFlight: 2,
    queued: 0,
    draining: false,
  }));
  const index = Array.from({length: cells}, (_, i) => i);
  return {
    host: 'router-0',
    version: 1,
    routers: index.map(i => ({
      ...routerAt(i),
      version: 1,
      heardAgeMs: 0,
      draining: false,
    })),
    cells: index.map(i => ({
      cell: cellAt(i),
      epoch: 1_000 + i,
      leader: `router-${i}`,
      standby: `router-${i + 1}`,
      shards,
      servers,
    })),
  };
}
