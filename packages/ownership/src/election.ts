import {hash32, rendezvousWeight} from '@banyandrum/base/hash.js';
import type {CellId} from '@banyandrum/base/ids.js';
import type {Inventory} from '@banyandrum/config/inventory.js';

/** A router host as a candidate for a role. */
export interface RouterHost {
  readonly host: string;
  /** `ip:port` for other routers. */
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
 * Candidates for a cell by rendezvous hashing, the best one first; alike in
 * every router that knows the same candidates.
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
  const weighed = routers.map(router => ({
    router,
    weight: rendezvousWeight(cell, router.host),
  }));
  weighed.sort(
    (a, b) => b.weight - a.weight || compareHosts(a.router, b.router),
  );
  return weighed.map(({router}) => router);
}

/**
 * Whether a candidate ranks among the first `count` for a cell. Most of those
 * that don't are found out after some `2 * count` of all candidates, whereas
 * ranking thousands of them for thousands of cells takes many seconds.
 *
 * @example
 * ```ts
 * isAmongFirst('holds/0', 'entry-3', routers, 1); // ranks first
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
  let before = 0;
  for (const router of routers) {
    const other = rendezvousWeight(cell, router.host);
    const isBefore = other - weight || compareHosts(candidate, router);
    if (isBefore > 0 && router !== candidate) before++;
    if (before >= count) return false;
  }
  return true;
}

/**
 * Candidates for a cell's standby, the best one first: those in another data
 * centre than the leader's go before those in its own.
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
  const isAway = (router: RouterHost): boolean =>
    router.dataCentre !== leader.dataCentre;
  return [...ranked.filter(isAway), ...ranked.filter(r => !isAway(r))];
}

/** Candidates in the order of their hashes. */
export type Ring = readonly {
  readonly router: RouterHost;
  readonly hash: number;
}[];

/** Puts candidates on a ring, for `pickFromRing`. */
export function createRing(routers: readonly RouterHost[]): Ring {
  return routers
    .map(router => ({router, hash: hash32(router.host)}))
    .sort((a, b) => a.hash - b.hash || compareHosts(a.router, b.router));
}

/**
 * The first `count` candidates on the ring behind a cell's hash that fit. It
 * spreads cells less evenly than ranking does, but its cost for a cell does
 * not grow with the number of routers.
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
  isFit: (router: RouterHost) => boolean,
): readonly RouterHost[] {
  const start = firstIndexAtOrAfter(ring, hash32(cell));
  const picked: RouterHost[] = [];
  for (let i = 0; i < ring.length && picked.length < count; i++) {
    const router = ring[(start + i) % ring.length]?.router;
    if (router && isFit(router)) picked.push(router);
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
