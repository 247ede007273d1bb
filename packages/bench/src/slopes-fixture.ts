import {createId, type Incarnation} from '@banyandrum/base/ids.js';
import {encodeRecord} from '@banyandrum/config/codec.js';
import {EMPTY_STATE, applyRecord} from '@banyandrum/config/fold.js';
import type {Claim, StateRecord} from '@banyandrum/config/records.js';
import type {ClusterState} from '@banyandrum/config/state.js';
import type {Host} from '@banyandrum/hosts/client.js';

/** Cells of the fixture's services; a service has 100 of them. */
const CELLS_OF_SERVICE = 100;
const SHARDS_OF_CELL = 64;
const DATA_CENTRES = 22;

/** The n-th router of the fixture. */
export function routerAt(index: number): Incarnation {
  return {
    host: `router-${index}`,
    address: `10.${index >> 8}.${index & 255}.7:7500`,
    boot: createId(),
    dataCentre: `data-centre-${index % DATA_CENTRES}`,
  };
}

/** The host list's entry of a router. */
export function hostOf({host, address, dataCentre}: Incarnation): Host {
  return {name: host, role: 'router', address, dataCentre, state: 'live'};
}

/** The n-th cell of the fixture. */
export function cellAt(index: number): string {
  const service = Math.floor(index / CELLS_OF_SERVICE);
  return `service-${service}/${index % CELLS_OF_SERVICE}`;
}

/** A first claim of the n-th cell by the n-th router. */
export function claimAt(routers: readonly Incarnation[], index: number): Claim {
  const leader = routers[index % routers.length]!;
  const standby = routers[(index + 1) % routers.length]!;
  const cell = cellAt(index);
  return {cell, previous: 0, leader, standby, settled: false};
}

/** An inventory for so many cells, and with so many servers. */
export function inventoryToml(cells: number, servers: number): string {
  const services = Math.ceil(cells / CELLS_OF_SERVICE);
  const parts = ['[[places]]\nname = "place-1"\ndata_centre = "centre-1"\n'];
  for (let i = 0; i < services; i++) {
    const count = Math.min(CELLS_OF_SERVICE, cells - i * CELLS_OF_SERVICE);
    parts.push(
      `[[services]]\nname = "service-${i}"\ncells = ${count}\n` +
        `shards = ${count * SHARDS_OF_CELL}\nchecks_fences = true\n`,
    );
  }
  for (let i = 0; i < servers; i++) {
    parts.push(
      `[[servers]]\nname = "server-${i}"\n` +
        `service = "service-${i % services}"\nplace = "place-1"\n` +
        `address = "10.${i >> 8}.${i & 255}.9:9000"\n` +
        'slots = 4\nconnections = 110\n',
    );
  }
  return parts.join('\n');
}

/** The publication of that inventory, with rules by default. */
export function publicationOf(
  cells: number,
  servers: number,
): StateRecord & {readonly kind: 'publication'} {
  return {
    kind: 'publication',
    changeId: createId(),
    basedOn: 0,
    author: 'bench',
    reason: 'slopes',
    at: '2026-01-01T00:00:00Z',
    inventoryToml: inventoryToml(cells, servers),
    rulesToml: '',
  };
}

/** The state after the publication and a first view of each cell. */
export function stateOf(
  routers: readonly Incarnation[],
  cells: number,
  servers: number,
): ClusterState {
  const claims = Array.from({length: cells}, (_, i) => claimAt(routers, i));
  let state = EMPTY_STATE;
  const records: StateRecord[] = [publicationOf(cells, servers)];
  for (let i = 0; i < cells; i += 64) {
    records.push({kind: 'views', claims: claims.slice(i, i + 64)});
  }
  for (const record of records) {
    state = applyRecord(state, state.next, encodeRecord(record));
  }
  if (state.views.size !== cells) throw new Error('fixture without views');
  return state;
}
