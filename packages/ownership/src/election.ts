import {hash32, rendezvousWeight} from '@banyandrum/base/hash.js';
import type {CellId} from '@banyandrum/base/ids.js';
import type {Inventory} from '@banyandrum/config/inventory.js';

/** A router's host as a candidate for a role. */
export interface RouterHost {
  readonly host: string;
  /** `ip:port` at which other routers reach it. */
  readonly address: string;
  readonly dataCentre: string;
}

/**
 * All cells of an inventory.
 *
 * @example
 * ```ts
 * cellsOf(inventory); // ['holds/0', 'holds/1', 'vacancy/0']
 * ```
 */
export function cellsOf(inventory: Inventory): readonly CellId[] {
  return inventory.services.flatMap(service =>
    Array.from({length: service.cells}, (_, i) => `${service.name}/${i}`),
  );
}

/**
 * Ranks candidates for a cell by rendezvous hashing, best first. Every router
 * that knows the same candidates computes the same order.
 *
 * @example
 * ```ts
 * const [leader] = rankRouters('holds/0', routers);
 * ```
 */
export function rankRouters(
  cell: CellId,
  routers: readonly RouterHost[],
): readonly RouterHost[] {
  const weighted = routers.map(router => ({
    router,
    weight: rendezvousWeight(cell, router.host),
  }));
  weighted.sort(
    (a, b) => b.weight - a.weight || compareHosts(a.router, b.router),
  );
  return weighted.map(({router}) => router);
}

/**
 * Whether a candidate ranks among the first `count` for a cell. Most lower
 * ranks are detected after about `2 * count` candidates, whereas ranking
 * thousands of candidates for thousands of cells takes many seconds.
 *
 * @example
 * ```ts
 * isRankedWithin('holds/0', 'entry-3', routers, 1); // ranks first
 * ```
 */
export function isRankedWithin(
  cell: CellId,
  host: string,
  routers: readonly RouterHost[],
  count: number,
): boolean {
  const candidate = routers.find(router => router.host === host);
  if (candidate === undefined) return false;
  const weight = rendezvousWeight(cell, host);
  let betterCount = 0;
  for (const router of routers) {
    const other = rendezvousWeight(cell, router.host);
    const order = other - weight || compareHosts(candidate, router);
    if (order > 0 && router !== candidate) betterCount++;
    if (betterCount >= count) return false;
  }
  return true;
}

/**
 * Ranks candidates for a cell's standby, best first. Candidates in another
 * data centre than the leader's come before those in the same one.
 *
 * @example
 * ```ts
 * const [standby] = rankStandbys('holds/0', leader, routers);
 * ```
 */
export function rankStandbys(
  cell: CellId,
  leader: RouterHost,
  routers: readonly RouterHost[],
): readonly RouterHost[] {
  const others = routers.filter(router => router.host !== leader.host);
  const ranked = rankRouters(cell, others);
  const isRemote = (router: RouterHost): boolean =>
    router.dataCentre !== leader.dataCentre;
  return [...ranked.filter(isRemote), ...ranked.filter(r => !isRemote(r))];
}

/** A hash ring: candidates in the order of their hashes. */
export type Ring = readonly {
  readonly router: RouterHost;
  readonly hash: number;
}[];

/** Creates a hash ring of candidates, for `pickFromRing`. */
export function createRing(routers: readonly RouterHost[]): Ring {
  return routers
    .map(router => ({router, hash: hash32(router.host)}))
    .sort((a, b) => a.hash - b.hash || compareHosts(a.router, b.router));
}

/**
 * Returns the first `count` eligible candidates on the ring at or after a
 * cell's hash. Cells are spread less evenly than by ranking, but the cost for
 * a cell does not grow with the number of routers.
 *
 * @example
 * ```ts
 * pickFromRing('holds/0', ring, 2, ({host}) => host !== leader.host);
 * ```
 */
export function pickFromRing(
  cell: CellId,
  ring: Ring,
  count: number,
  isEligible: (router: RouterHost) => boolean,
): readonly RouterHost[] {
  const start = firstIndexAtOrAfter(ring, hash32(cell));
  const picked: RouterHost[] = [];
  for (let i = 0; i < ring.length && picked.length < count; i++) {
    const router = ring[(start + i) % ring.length]?.router;
    if (router && isEligible(router)) picked.push(router);
  }
  return picked;
}

function firstIndexAtOrAfter(ring: Ring, hash: number): number {
  let low = 0;
  let high = ring.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((ring[middle]?.hash ?? 0) < hash) low = middle + 1;
    else high = middle;
  }
  return low;
}

function compareHosts(a: RouterHost, b: RouterHost): number {
  return a.host < b.host ? -1 : 1;
}
