import {at, meanOf, perUnit, type Series} from './slopes-fit.js';
import {ASSUMED, DAY_S, TIMES, USERS} from './slopes-users.js';

/** What something costs a node: in a second, or each time. */
interface Cost {
  readonly cpuUs: number;
  readonly bytes: number;
}

/** Costs at the users' size, computed from the slopes. */
export interface Costs {
  /** A slope by its name. */
  of(name: string): Series;
  readonly requestsPerNode: number;
  readonly publicationsPerSecond: number;
  readonly publication: Cost;
  /** Both ends of a stream that another router opens here and back. */
  readonly stream: Cost & {readonly memory: number};
  /** Processor time a second for passing on all requests of a node. */
  readonly hopUs: number;
  readonly viewsHeap: number;
  readonly foldUs: number;
  readonly inventoryHeap: number;
  readonly snapshotBytes: number;
  readonly ownershipUs: number;
  readonly leader: Cost;
  readonly consent: Cost;
  readonly hostList: Cost;
  readonly shardTable: Cost;
  readonly runtime: number;
  /** An idle router process of a small system. */
  readonly router: {readonly cpuUs: number; readonly memory: number};
  readonly appendsPerRole: number;
}

/** Works the slopes out for the users' size. */
export function deriveCosts(series: readonly Series[]): Costs {
  const of = (name: string): Series => {
    const found = series.find(entry => entry.name === name);
    if (found === undefined) throw new Error(`no slope ${name}`);
    return found;
  };
  const {nodes, changesPerDay, requestsPerSecond} = USERS;
  const {cells, serversOfCell, shardsOfCell} = ASSUMED;
  const servers = cells * serversOfCell;
  const each = (name: string, x: number): number => at(of(name), x);
  const idle = (what: string): number => {
    const all = series.filter(
      ({name}) => name.startsWith('idle router') && name.endsWith(what),
    );
    return all.reduce((sum, one) => sum + meanOf(one), 0) / all.length;
  };
  return {
    of,
    requestsPerNode: requestsPerSecond / nodes,
    publicationsPerSecond: changesPerDay / DAY_S,
    publication: {
      bytes: each('publication bytes', servers),
      cpuUs: each('publication cpu', servers),
    },
    stream: {
      cpuUs: of('streams asker cpu').slope + of('streams answerer cpu').slope,
      bytes: 2 * of('streams bytes').slope,
      memory:
        of('streams asker memory').slope + of('streams answerer memory').slope,
    },
    hopUs:
      each('hop asker cpu', requestsPerSecond / nodes) +
      each('hop answerer cpu', requestsPerSecond / nodes),
    viewsHeap: each('views heap', cells),
    foldUs: each('fold cpu', cells),
    inventoryHeap: each('inventory heap', servers),
    snapshotBytes:
      each('snapshot bytes by cells', cells) +
      each('snapshot bytes by servers', servers),
    ownershipUs: each('ownership cpu', cells),
    leader: {
      cpuUs: each('leader by servers cpu', serversOfCell),
      bytes: each('leader by servers bytes', serversOfCell),
    },
    consent: {
      cpuUs:
        TIMES.consentPerSecond *
        (each('consent asker cpu', 1) + each('consent answerer cpu', 1)),
      bytes: TIMES.consentPerSecond * 2 * each('consent bytes', 1),
    },
    hostList: {
      cpuUs: each('host list cpu', nodes + servers),
      bytes: each('host list bytes', nodes + servers),
    },
    shardTable: {
      bytes: each('table bytes', shardsOfCell),
      cpuUs: each('table asker cpu', shardsOfCell),
    },
    runtime: meanOf(of('bare runtime memory')),
    router: {cpuUs: idle('cpu'), memory: idle('memory')},
    appendsPerRole: perUnit(of('loss appends')),
  };
}

export const HOSTS_OF_CENTRE = Math.round(USERS.nodes / USERS.dataCentres);
const HOSTS_OF_REGION = Math.round(USERS.nodes / USERS.regions);

/** Other routers that each router has a stream to, by how paths are laid. */
export const PATHS = {
  mesh: USERS.nodes - 1,
  centres: HOSTS_OF_CENTRE - 1 + USERS.dataCentres - 1,
  regions: HOSTS_OF_REGION - 1 + USERS.regions - 1,
} as const;
