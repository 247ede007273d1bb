import type {CellId} from '@banyandrum/base/ids.js';
import type {Server} from '@banyandrum/config/inventory.js';
import type {ClusterState} from '@banyandrum/config/state.js';
import type {Host} from '@banyandrum/hosts/client.js';
import type {ServerRef} from '@banyandrum/servers/client.js';

/** The platform's host list as last read; it lags behind the actual state. */
export interface HostWatch {
  current(): readonly Host[];
}

/** Why a server's shards are being moved away. */
export type LeavingReason = 'removed' | 'drained' | 'host list' | 'own report';

/** The parts of a cell id: the service's name and the cell's index. */
export interface CellName {
  readonly service: string;
  readonly index: number;
}

/** Splits a cell id such as `holds/0` into its parts. */
export function parseCell(cell: CellId): CellName {
  const slash = cell.lastIndexOf('/');
  return {
    service: cell.slice(0, slash),
    index: Number(cell.slice(slash + 1)),
  };
}

/**
 * The servers of a cell. The servers of a service, sorted by name, are dealt
 * out to its cells in round-robin order.
 *
 * @example
 * ```ts
 * serversOfCell(state.inventory.servers, 'holds', 0, 2);
 * ```
 */
export function serversOfCell(
  servers: readonly Server[],
  service: string,
  index: number,
  cells: number,
): readonly Server[] {
  return servers
    .filter(server => server.service === service)
    .sort((a, b) => (a.name < b.name ? -1 : 1))
    .filter((_, position) => position % cells === index);
}

/** Extracts the fields of a server that its lease needs. */
export function toServerRef(server: Server): ServerRef {
  const {name, service, address, slots, connections} = server;
  return {name, service, address, slots, connections};
}

/**
 * Why a server's shards are to be moved away, or null. Each of the signals may
 * lag behind, so the first one that says so counts.
 */
export function leavingReason(
  server: ServerRef,
  listed: boolean,
  state: ClusterState,
  hosts: readonly Host[],
  reportsLeaving: boolean,
): LeavingReason | null {
  if (!listed) return 'removed';
  if (state.drains.has(server.name)) return 'drained';
  if (hosts.some(host => isLeaving(host, server))) return 'host list';
  return reportsLeaving ? 'own report' : null;
}

function isLeaving(host: Host, server: ServerRef): boolean {
  if (host.role !== 'server' || host.state !== 'leaving') return false;
  return host.address === server.address || host.name === server.name;
}
