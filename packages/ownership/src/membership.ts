import type {CellId, Incarnation} from '@banyandrum/base/ids.js';
import type {Host} from '@banyandrum/hosts/client.js';
import type {OwnershipContext} from './context.js';
import type {Ring, RouterHost} from './election.js';
import {createRing, rankStandbys} from './election.js';
import {createMemo} from './memo.js';
import {isAttestedLost} from './views.js';

/** The newest host list that was read; null until the first was read. */
export interface HostListReader {
  current(): readonly Host[] | null;
}

/** The routers that may take roles, and the running incarnation of each. */
export interface Membership {
  /** Whether the host list was read or the wait for it has timed out. */
  isReady(): boolean;
  /**
   * Routers that may take new roles, including this one if eligible. Returns
   * the same array as long as nothing changes.
   */
  candidates(): readonly RouterHost[];
  /** The candidates except this router. */
  otherCandidates(): readonly RouterHost[];
  /** The hash ring of the candidates, memoized per list of candidates. */
  ring(): Ring;
  /** The incarnation at a router, or null if none answers. */
  findIncarnation(router: RouterHost): Promise<Incarnation | null>;
  /** The incarnations of the other candidates that answer. */
  findOtherIncarnations(): Promise<readonly Incarnation[]>;
  /** Whether the router may keep its roles: not drained and not leaving. */
  mayKeepRoles(host: string): boolean;
  /**
   * The highest-ranked standby for a cell that answers, or null if none does.
   * The host of `excluded` is skipped.
   */
  findStandby(
    cell: CellId,
    excluded: Incarnation | null,
  ): Promise<Incarnation | null>;
  /** Marks an incarnation that stops soon, so that it gets no standby role. */
  markLeaving(incarnation: Incarnation): void;
  isLeaving(incarnation: Incarnation): boolean;
}

interface CachedProbe {
  readonly at: number;
  readonly result: Promise<Incarnation | null>;
}

/** How long the result of a probe is cached, in ms. */
const PROBE_CACHE_MS = 1000;

/** How long to wait for the first host list before claiming cells, in ms. */
const HOST_LIST_TIMEOUT_MS = 10_000;

/**
 * Combines the host list, which lags behind, with this process's own probes.
 * Routers are probed only when a role is to be assigned, and each at most once
 * a second, so the number of probes does not grow with the number of routers.
 *
 * @example
 * ```ts
 * const standby = await membership.findStandby('holds/0', null);
 * ```
 */
export function createMembership(
  ctx: OwnershipContext,
  hosts: HostListReader,
  isStopping: () => boolean,
): Membership {
  const {self, clock, store} = ctx;
  const startedAt = clock.now();
  const probes = new Map<string, CachedProbe>();
  const leavingBoots = new Set<string>();

  const routersByName = createMemo(indexRouters);

  const isSelfIneligible = (): boolean =>
    isStopping() || isAttestedLost(store.current(), self);

  const mayKeepRoles = (host: string): boolean => {
    if (host === self.host && isSelfIneligible()) return false;
    if (store.current().drains.has(host)) return false;
    return routersByName(hosts.current()).get(host)?.state !== 'leaving';
  };

  const listOtherCandidates = createMemo(
    (
      routers: ReadonlyMap<string, Host>,
      drains: ReadonlySet<string>,
    ): readonly RouterHost[] =>
      [...routers.values()]
        .filter(({name}) => name !== self.host && !drains.has(name))
        .filter(({state}) => state !== 'leaving')
        .map(toRouterHost),
  );

  const otherCandidates = (): readonly RouterHost[] =>
    listOtherCandidates(routersByName(hosts.current()), store.current().drains);

  const withSelf = createMemo(
    (known: readonly RouterHost[], maySelfKeepRoles: boolean) =>
      maySelfKeepRoles ? [self, ...known] : known,
  );

  const candidates = (): readonly RouterHost[] =>
    withSelf(otherCandidates(), mayKeepRoles(self.host));

  const ringOf = createMemo(createRing);

  const probe = async (address: string): Promise<Incarnation | null> => {
    const res = await ctx.peers.probe(address, ctx.timing.responseTimeoutMs);
    return res.ok ? res.val : null;
  };

  const findIncarnation = (router: RouterHost): Promise<Incarnation | null> => {
    const known = probes.get(router.host);
    const now = clock.now();
    if (known && now - known.at < PROBE_CACHE_MS) return known.result;
    const result = probe(router.address);
    probes.set(router.host, {at: now, result});
    return result;
  };

  return {
    isReady: () =>
      hosts.current() !== null ||
      clock.now() - startedAt > HOST_LIST_TIMEOUT_MS,
    candidates,
    otherCandidates,
    ring: () => ringOf(candidates()),
    findIncarnation,
    async findOtherIncarnations() {
      const found = await Promise.all(otherCandidates().map(findIncarnation));
      return found.filter(incarnation => incarnation !== null);
    },
    mayKeepRoles,
    async findStandby(cell, excluded) {
      const eligible = otherCandidates().filter(
        ({host}) => host !== excluded?.host,
      );
      for (const router of rankStandbys(cell, self, eligible)) {
        const found = await findIncarnation(router);
        if (found !== null && !leavingBoots.has(found.boot)) return found;
      }
      return null;
    },
    markLeaving: ({boot}) => void leavingBoots.add(boot),
    isLeaving: ({boot}) => leavingBoots.has(boot),
  };
}

function indexRouters(
  hosts: readonly Host[] | null,
): ReadonlyMap<string, Host> {
  const routers = new Map<string, Host>();
  for (const host of hosts ?? []) {
    if (host.role !== 'router' || routers.has(host.name)) continue;
    routers.set(host.name, host);
  }
  return routers;
}

function toRouterHost({name, address, dataCentre}: Host): RouterHost {
  return {host: name, address, dataCentre};
}
