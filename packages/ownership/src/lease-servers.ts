import type {CellId} from '@banyandrum/base/ids.js';
import type {Server} from '@banyandrum/config/inventory.js';
import type {ClusterState} from '@banyandrum/config/state.js';
import type {Host} from '@banyandrum/hosts/client.js';
import type {ServerRef} from '@banyandrum/servers/client.js';

/** The platform's host list as last read; it lags behind the truth. */
export interface HostWatch {
  current(): readonly Host[];
}

/** Why a server is being emptied; null where it isn't. */
export type LeavingReason = 'removed' | 'drained' | 'host list' | 'own report';

/** A service's name and a cell's index, out of a cell's id. */
export interface CellName {
  readonly service: string;
  readonly index: number;
}

/** Splits `holds/0` into its parts. */
export function parseCell(cell: CellId): CellName {
  const slash = cell.lastIndexOf('/');
  return {
    service: cell.slice(0, slash),
    index: Number(cell.slice(slash + 1)),
  };
}

/**
 * The servers that fall to a cell: those of its service, sorted by name, in
 * turn to each cell.
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

/** What a lease needs to know of a server. */
export function toServerRef(server: Server): ServerRef {
  const {name, service, address, slots, connections} = server;
  return {name, service, address, slots, connections};
}

/**
 * Why a server is to be emptied, by whichever of the lagging signals comes
 * first, or null.
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
