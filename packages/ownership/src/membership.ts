import type {CellId, Incarnation} from '@banyandrum/base/ids.js';
import type {Host} from '@banyandrum/hosts/client.js';
import type {OwnershipContext} from './context.js';
import type {Ring, RouterHost} from './election.js';
import {createRing, rankStandbys} from './election.js';
import {createMemo} from './memo.js';
import {isAttestedLost} from './views.js';

/** The newest host list that was read; null before the first. */
export interface HostListReader {
  current(): readonly Host[] | null;
}

/** Which routers may take roles, and which run of each is there now. */
export interface Membership {
  /** Whether the host list was read, or is not to be waited for longer. */
  isReady(): boolean;
  /**
   * Routers that may take new roles, this one among them if it may; the same
   * array for as long as nothing changes.
   */
  candidates(): readonly RouterHost[];
  /** The same without this one. */
  otherCandidates(): readonly RouterHost[];
  /** The candidates on a ring, made once for each list of them. */
  ring(): Ring;
  /** The run of the process at a router, or null where none answers. */
  findIncarnation(router: RouterHost): Promise<Incarnation | null>;
  /** Those of the others that answer. */
  findOtherIncarnations(): Promise<readonly Incarnation[]>;
  /** Whether the router may keep its roles: neither drained nor leaving. */
  mayKeepRoles(host: string): boolean;
  /**
   * The best standby for a cell that answers, or null where none does.
   * The host of `unfit` is left out.
   */
  findStandby(
    cell: CellId,
    unfit: Incarnation | null,
  ): Promise<Incarnation | null>;
  /** Takes note that a run is about to stop, so that it gets no new role. */
  markLeaving(incarnation: Incarnation): void;
  isLeaving(incarnation: Incarnation): boolean;
}

interface CachedProbe {
  readonly at: number;
  readonly result: Promise<Incarnation | null>;
}

/** How long an answer to "who is there" is believed, in ms. */
const PROBE_CACHE_MS = 1000;

/** How long cells wait for the first host list before they are claimed. */
const HOST_LIST_TIMEOUT_MS = 10_000;

/**
 * Joins the lagging host list with what this process sees itself. Routers
 * are probed only when a role is to be given out, and each one once a second
 * at most, so the number of probes does not grow with the number of routers.
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
  const sightings = new Map<string, CachedProbe>();
  const leaving = new Set<string>();

  const routersByName = createMemo(indexRouters);

  const isSelfUnfit = (): boolean =>
    isStopping() || isAttestedLost(store.current(), self);

  const isWelcome = (host: string): boolean => {
    if (host === self.host && isSelfUnfit()) return false;
    if (store.current().drains.has(host)) return false;
    return routersByName(hosts.current()).get(host)?.state !== 'leaving';
  };

  const listOthers = createMemo(
    (
      routers: ReadonlyMap<string, Host>,
      drains: ReadonlySet<string>,
    ): readonly RouterHost[] =>
      [...routers.values()]
        .filter(({name}) => name !== self.host && !drains.has(name))
        .filter(({state}) => state !== 'leaving')
        .map(toRouterHost),
  );

  const others = (): readonly RouterHost[] =>
    listOthers(routersByName(hosts.current()), store.current().drains);

  const withSelf = createMemo(
    (known: readonly RouterHost[], isWelcomeHere: boolean) =>
      isWelcomeHere ? [self, ...known] : known,
  );

  const candidates = (): readonly RouterHost[] =>
    withSelf(others(), isWelcome(self.host));

  const ringOf = createMemo(createRing);

  const probe = async (address: string): Promise<Incarnation | null> => {
    const res = await ctx.peers.probe(address, ctx.timing.responseTimeoutMs);
    return res.ok ? res.val : null;
  };

  const find = (router: RouterHost): Promise<Incarnation | null> => {
    const known = sightings.get(router.host);
    const now = clock.now();
    if (known && now - known.at < PROBE_CACHE_MS) return known.result;
    const found = probe(router.address);
    sightings.set(router.host, {at: now, result: found});
    return found;
  };

  return {
    isReady: () =>
      hosts.current() !== null ||
      clock.now() - startedAt > HOST_LIST_TIMEOUT_MS,
    candidates,
    otherCandidates: others,
    ring: () => ringOf(candidates()),
    findIncarnation: find,
    async findOtherIncarnations() {
      const found = await Promise.all(others().map(find));
      return found.filter(incarnation => incarnation !== null);
    },
    mayKeepRoles: isWelcome,
    async findStandby(cell, unfit) {
      const fit = others().filter(({host}) => host !== unfit?.host);
      for (const router of rankStandbys(cell, self, fit)) {
        const found = await find(router);
        if (found !== null && !leaving.has(found.boot)) return found;
      }
      return null;
    },
    markLeaving: ({boot}) => void leaving.add(boot),
    isLeaving: ({boot}) => leaving.has(boot),
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
