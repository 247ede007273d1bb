import {sleep} from '@banyandrum/base/clock.js';
import {createSuspects} from '@banyandrum/dispatch/suspects.js';
import {createConfigKeeper} from '@banyandrum/gateway/config-keeper.js';
import type {KeyOwners} from '@banyandrum/gateway/key-owners.js';
import type {Leadership} from '@banyandrum/gateway/leadership.js';
import type {LinkClient} from '@banyandrum/gateway/link-client.js';
import {joinRouterGroup} from '@banyandrum/gateway/membership.js';
import type {
  ConfigRead,
  Membership,
  Platform,
  ServerListRead,
} from '@banyandrum/gateway/platform.js';
import {startRefreshLoops} from '@banyandrum/gateway/refresh-loops.js';
import {createServerList} from '@banyandrum/gateway/server-list.js';
import {shareSuspects} from '@banyandrum/gateway/share-suspects.js';
import {
  createStoreContact,
  trackStoreCalls,
} from '@banyandrum/gateway/store-contact.js';
import type {RoutingConfig} from '@banyandrum/routing/config.js';
import type {ManualClock} from '@banyandrum/standins/manual-clock.js';

/** How the simulated store answers. */
export type StoreState = 'up' | 'silent' | 'refuses';

/** The simulated store of the platform, which counts calls by purpose. */
export interface SimulatedStore {
  state: StoreState;
  /** Calls that fail while the state is `up`, by purpose. */
  readonly failing: Set<string>;
  /** Position of the newest configuration, and its version. */
  configVersion: number;
  /** Position of the list; the server is leaving from 2 on. */
  listCursor: number;
  readonly counts: Map<string, number>;
  platform(): Platform;
  join(name: string): Promise<Membership | null>;
  members(): readonly string[];
  /** When each router was last told whether it is chosen, in ms. */
  readonly toldAt: Map<string, number>;
}

const ROUND_TRIP_MS = 10;
const READ_TIMEOUT_MS = 1_200;
const JOIN_TIMEOUT_MS = 800;
const MEMBER_TTL_MS = 1_000;
const LEAVE_WITHIN_MS = 2_000;
/** Time in which a chosen router reads what it needs and starts to lead. */
const TERM_START_MS = 100;
const HEARTBEAT_MS = 200;
/** A follower gives the leader up after this silence, in ms. */
const LEADER_TIMEOUT_MS = 600;
export const DEPUTIES = 3;
/** Interval at which a router without a leader looks for one, in ms. */
const SEARCH_MS = 200;
/** Time to connect to the leader and get its state, in ms. */
const FOLLOW_MS = 60;

function configOf(version: number): RoutingConfig {
  const services = new Map([['desks', {name: 'desks', isKeyed: true}]]);
  return {version, services} as unknown as RoutingConfig;
}

/** Creates a store that is up. */
export function createSimulatedStore(clock: ManualClock): SimulatedStore {
  const seenAt = new Map<string, number>();
  let generation = 0;

  /** Resolves to whether the store answers. */
  const call = async (
    purpose: string,
    timeoutMs: number,
    waitMs = 0,
    isNews = (): boolean => true,
  ): Promise<boolean> => {
    store.counts.set(purpose, (store.counts.get(purpose) ?? 0) + 1);
    if (store.state === 'silent') {
      await sleep(clock, timeoutMs + waitMs);
      return false;
    }
    await sleep(clock, ROUND_TRIP_MS);
    for (let waited = 0; waited < waitMs && !isNews(); waited += 50) {
      await sleep(clock, 50);
    }
    return store.state === 'up' && !store.failing.has(purpose);
  };

  const dropSilent = (): void => {
    for (const [name, at] of seenAt) {
      if (clock.now() - at <= MEMBER_TTL_MS) continue;
      seenAt.delete(name);
      generation++;
    }
  };

  const platform = {
    async readConfig(cursor: number | null, waitMs: number) {
      const isNews = (): boolean => cursor !== store.configVersion;
      if (!(await call('config', READ_TIMEOUT_MS, waitMs, isNews)))
        return {kind: 'failed', detail: 'no answer'} satisfies ConfigRead;
      const version = store.configVersion;
      const isUnchanged = version === cursor;
      return {
        kind: 'read',
        config: isUnchanged ? null : configOf(version),
        ...{unreadable: null, isUnchanged, isAtEnd: true, cursor: version},
      } satisfies ConfigRead;
    },
    async readServers(cursor: number | null) {
      if (!(await call('servers', READ_TIMEOUT_MS)))
        return {kind: 'failed', detail: 'no answer'} satisfies ServerListRead;
      const server = {
        ...{id: 's1#1', service: 'desks', address: '10.1.0.9:80'},
        ...{isLeaving: store.listCursor > 1, coldUntil: 0, slots: 3},
        dataCentre: 'a',
      };
      const isNews = cursor !== store.listCursor;
      return {
        kind: 'read',
        isWhole: cursor === null,
        changes: isNews ? [{kind: 'listed', server}] : [],
        cursor: store.listCursor,
      } as unknown as ServerListRead;
    },
    members: (name: string) => ({
      join: () => store.join(name),
      leave: () => call('leave', JOIN_TIMEOUT_MS),
      async list() {
        if (!(await call('routers', JOIN_TIMEOUT_MS))) return null;
        return store.members();
      },
    }),
    history: {
      ...{epoch: () => 0, epochSeenAt: () => -Infinity},
      subscribe: () => undefined,
    },
    ledger: {
      load: async () => ((await call('tables', READ_TIMEOUT_MS)) ? [] : null),
    },
    suspects: {
      load: async () => ((await call('suspects', READ_TIMEOUT_MS)) ? [] : null),
    },
    callCounts: () => Object.fromEntries(store.counts),
  } as unknown as Platform;

  const store: SimulatedStore = {
    ...{state: 'up', configVersion: 1, listCursor: 1},
    ...{failing: new Set(), counts: new Map(), toldAt: new Map()},
    platform: () => platform,
    async join(name) {
      if (!(await call('join', JOIN_TIMEOUT_MS))) return null;
      dropSilent();
      if (!seenAt.has(name)) generation++;
      seenAt.set(name, clock.now());
      store.toldAt.set(name, clock.now());
      const [first] = seenAt.keys();
      return {generation, isChosen: first === name};
    },
    members: () => [...seenAt.keys()],
  };
  return store;
}

/** A simulated router with the loops that call the store. */
export interface SimulatedRouter {
  readonly name: string;
  readonly isLeading: () => boolean;
  isAlive(): boolean;
  listPosition(): {readonly cursor: number | null; readonly ageMs: number};
  configVersion(): number;
  isServerLeaving(): boolean;
  /** Whether it has all that it needs to serve. */
  isReady(): boolean;
  /** Ends it without a trace. */
  kill(): void;
  leave(): Promise<void>;
}

interface State {
  leaderIndex: number | null;
}

/** A group of simulated routers, one of which may lead. */
export interface SimulatedGroup {
  readonly routers: SimulatedRouter[];
  start(name: string): SimulatedRouter;
  /** No router may lead while false. */
  mayLead: boolean;
  leader(): SimulatedRouter | null;
}

/**
 * Creates an empty group. A chosen router leads soon after it was chosen; the
 * others follow it once they know its name or that of a deputy, and take from
 * it all that a real leader relays.
 */
export function createSimulatedGroup(
  clock: ManualClock,
  store: SimulatedStore,
  random: () => number,
): SimulatedGroup {
  const state: State = {leaderIndex: null};
  const routers: (SimulatedRouter & {send(to: Link): boolean})[] = [];

  const leader = (): (typeof routers)[number] | null => {
    const current =
      state.leaderIndex === null ? null : routers[state.leaderIndex]!;
    return current?.isLeading() ? current : null;
  };

  const deputies = (): typeof routers =>
    routers
      .filter(each => each.isAlive() && !each.isLeading())
      .slice(0, DEPUTIES);

  const start = (name: string): SimulatedRouter => {
    const index = routers.length;
    const router = startRouter({
      ...{clock, store, random, name, leader},
      mayLead: () => group.mayLead,
      deputy: guess => deputies()[guess % DEPUTIES] ?? null,
      isDeputy: () => {
        return deputies().some(each => each.name === name);
      },
      onLeading: () => {
        state.leaderIndex = index;
      },
    });
    routers.push(router);
    return router;
  };

  const group: SimulatedGroup = {routers, start, mayLead: true, leader};
  return group;
}

/** What a leader sends with each heartbeat is applied to. */
interface Link {
  readonly list: ReturnType<typeof createServerList>;
  readonly keeper: ReturnType<typeof createConfigKeeper>;
  setContactAge(ms: number): void;
}

interface RouterOptions {
  readonly clock: ManualClock;
  readonly store: SimulatedStore;
  readonly random: () => number;
  readonly name: string;
  leader(): (SimulatedRouter & {send(to: Link): boolean}) | null;
  mayLead(): boolean;
  isDeputy(): boolean;
  /** One of the deputies, in turn. */
  deputy(guess: number): SimulatedRouter | null;
  onLeading(): void;
}

function startRouter(
  opts: RouterOptions,
): SimulatedRouter & {send(to: Link): boolean} {
  const {clock, store, name, random} = opts;
  const emit = (): void => undefined;
  const reads = createStoreContact({
    ...{clock, emit, random, isLeading: () => isLeading},
  });
  const platform = trackStoreCalls(store.platform(), reads);
  const {now} = clock;
  let isDead = false;
  let isLeading = false;
  let isStarting = false;
  let isSynced = false;
  let heardAt = -Infinity;
  let followedSince: number | null = null;
  let contactAgeMs = Infinity;
  let hadDeputies = false;
  let neighbourAt = -Infinity;
  let guesses = 0;
  let askedAt = -Infinity;

  const isFollowing = (): boolean =>
    !isLeading && now() - heardAt < LEADER_TIMEOUT_MS;

  const lead = async (): Promise<void> => {
    if (isStarting || isLeading || isFollowing() || !opts.mayLead()) return;
    if (opts.leader() !== null) return;
    isStarting = true;
    await sleep(clock, TERM_START_MS);
    isStarting = false;
    if (isDead || opts.leader() !== null || !group.isChosen()) return;
    isLeading = true;
    opts.onLeading();
  };

  const goesOn = (): boolean => !isDead;
  const link = {
    leaderAgeMs: () => now() - heardAt,
    neighbourAgeMs: () => now() - neighbourAt,
    leader: () => (isFollowing() ? 'leader' : null),
    leaderContactAgeMs: () => (isFollowing() ? contactAgeMs : null),
    relaysConfig: isFollowing,
    isSynced: () => isSynced,
    deputies: () => (hadDeputies ? [{address: '10.0.0.1:1'}] : []),
    hasOtherDeputies: () =>
      isFollowing() && contactAgeMs < 1_000 && !opts.isDeputy(),
    reportSuspects: () => undefined,
  } as unknown as LinkClient;
  const leadership = {
    isLeading: () => isLeading,
    epoch: () => (isLeading ? 1 : null),
    subscribe: () => undefined,
    checkTerm: () => undefined,
  } as unknown as Leadership;

  const member = platform.members(name);
  const group = joinRouterGroup({
    members: {
      ...member,
      join: async () =>
        isDead ? new Promise<null>(() => undefined) : member.join(),
      list: async () => (isDead ? null : member.list()),
    },
    ...{clock, random, emit, suspendAwareNow: now},
    onJoined() {
      if (group.isChosen()) reads.endStartup();
      void lead();
    },
    reducesCalls: true,
    knowsDeputies: () => hadDeputies,
    onReplaced: () => undefined,
    followsLeader: () => isLeading || isFollowing(),
    isLeading: () => isLeading,
    maySkipJoin: () =>
      !isLeading && link.hasOtherDeputies() && !reads.isPaused(),
    learnWithinMs: LEAVE_WITHIN_MS,
  });
  const list = createServerList(clock, emit, LEAVE_WITHIN_MS);
  const keeper = createConfigKeeper({
    ...{platform, clock, emit, reads, suspendAwareNow: now},
    evacuations: {
      ...{current: () => new Set<string>(), missing: () => new Set<string>()},
      ...{applyRead: () => undefined, applyRelayed: () => undefined},
    },
    isRelayed: isFollowing,
  });
  const isQuarantineKnown = shareSuspects({
    ...{clock, emit, leadership, link, platform, reads, goesOn},
    suspects: createSuspects(clock, emit),
    unixNow: () => 0,
  });
  startRefreshLoops({
    ...{platform, clock, emit, leadership, list, link, reads, goesOn},
    owners: {replaceTables: () => undefined} as unknown as KeyOwners,
    isDeputy: opts.isDeputy,
    leaveWithinMs: LEAVE_WITHIN_MS,
    keyedServices: () => [...(keeper.current()?.services.keys() ?? [])],
    updateConnectionLimits: () => undefined,
    collectOwnMeasurements: () => undefined,
    listReadMs: () => 400,
    routers: () => Infinity,
  });

  /** Knows whom to ask: the listed router, or deputies of the last leader. */
  const knowsAddress = (): boolean =>
    hadDeputies || group.chosenName() !== null;

  const ownLink: Link = {
    list,
    keeper,
    setContactAge: ms => {
      contactAgeMs = ms;
    },
  };
  /** A router without a leader asks one of the deputies from time to time. */
  const askDeputy = (): void => {
    if (now() - askedAt < SEARCH_MS) return;
    askedAt = now();
    const position = opts.deputy(guesses++)?.listPosition();
    const {cursor = null, ageMs = 0} = position ?? {};
    if (cursor === null || !list.confirm(cursor, ageMs + ROUND_TRIP_MS)) return;
    neighbourAt = now();
  };

  const listen = (): void => {
    if (isDead) return;
    clock.after(HEARTBEAT_MS / 4, listen);
    const leader = opts.leader();
    if (isLeading || leader === null || !knowsAddress()) {
      followedSince = null;
      if (!isLeading && hadDeputies) askDeputy();
      return;
    }
    followedSince ??= now();
    if (now() - followedSince < FOLLOW_MS) return;
    if (!isFollowing() || now() - heardAt >= HEARTBEAT_MS) {
      if (!leader.send(ownLink)) return;
      heardAt = now();
      hadDeputies = true;
      isSynced = true;
    }
  };
  listen();

  return {
    name,
    isLeading: () => isLeading && !isDead,
    isAlive: () => !isDead,
    listPosition: () => ({cursor: list.cursor(), ageMs: list.ageMs()}),
    send(to) {
      const snapshot = list.snapshot();
      const config = keeper.current();
      const cursor = keeper.cursor();
      if (snapshot === null || config === null || cursor === null) return false;
      to.setContactAge(group.contactAgeMs());
      to.list.applySnapshot(snapshot, list.ageMs() + HEARTBEAT_MS);
      to.keeper.applyRelayed(config, cursor, name);
      const position = {cursor, version: config.version, evacuated: []};
      if (to.keeper.applyRelayedPosition(position, name))
        to.keeper.confirmRelayed(keeper.cursorAgeMs(), name);
      return true;
    },
    configVersion: () => keeper.current()?.version ?? 0,
    isServerLeaving: () => list.snapshot()?.servers[0]?.isLeaving ?? false,
    isReady: () =>
      keeper.current() !== null &&
      list.cursor() !== null &&
      isQuarantineKnown(),
    kill() {
      isDead = true;
      isLeading = false;
      keeper.stop();
    },
    leave: () => group.leave(goesOn),
  };
}
