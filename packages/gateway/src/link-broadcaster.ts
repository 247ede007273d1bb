import type {ServerInfo} from '@banyandrum/dispatch/backend.js';
import type {
  LimitRow,
  ServerLimits,
} from '@banyandrum/dispatch/server-limits.js';
import {shouldBroadcast, type Suspect} from '@banyandrum/dispatch/suspect.js';
import type {Suspects} from '@banyandrum/dispatch/suspects.js';
import type {RelayedPosition} from './config-keeper.js';
import type {ServedTables} from './key-owners.js';
import type {Leadership} from './leadership.js';
import {
  createPartVersions,
  DIGESTS,
  digestOnce,
  type HeldDigests,
  type HeldPart,
} from './held-state.js';
import type {WireConfig} from './link-config.js';
import {encode} from './link-codec.js';
import {
  HEARTBEAT_MS,
  type EncodedMessage,
  type StateMessage,
} from './link-messages.js';
import {diffList, diffTables, digestServers} from './link-state.js';
import {
  MAX_DEPUTIES,
  pickDeputies,
  type Candidate,
  type HostCapacity,
} from './host-capacity.js';
import type {ServerList} from './server-list.js';
import {
  createTimesShare,
  type TimesReceiver,
  type TimesShareConfig,
} from './share-times.js';

/** What sending state to the followers needs. */
export interface BroadcasterConfig extends TimesShareConfig {
  readonly leadership: Leadership;
  readonly list: ServerList;
  readonly suspects: Pick<Suspects, 'rows'>;
  readonly limits: Pick<ServerLimits, 'rows'>;
  /** What it knows of the platform's log; null if it has no configuration. */
  configPosition(): RelayedPosition | null;
  /** The newest version that this router knows. */
  config(): WireConfig | null;
  /** Time since the log was known to end there, in ms. */
  configAgeMs(): number;
  /** Time since this router last reached the platform, in ms. */
  contactAgeMs(): number;
  /** Capacity of this router's host. */
  readonly room: HostCapacity;
}

/** A follower that receives the state. */
export interface Subscriber {
  readonly stream: TimesReceiver['stream'] & {
    write(message: EncodedMessage): unknown;
  };
  /** The state sent last; null until the full state was sent. */
  lastSent: SharedState | null;
  /** Digest of the server list that it had when it connected; null if none. */
  listDigest: string | null;
  /** What else it had then; null if it named nothing. */
  held: HeldDigests | null;
  /** Its `hello`; null until received. */
  candidate: Candidate | null;
  /** Whether its `hello`, with what it knows, may still arrive. */
  awaitsHello: boolean;
  /** Servers that it can't reach although others can. */
  unreachable: number;
}

/** Sends the leader's state to the followers. */
export interface StateBroadcaster {
  /**
   * Sends the state, or what changed in it, to some of `all`. The deputies are
   * picked anew if it goes to all.
   */
  send(some: Iterable<Subscriber>, all: Iterable<Subscriber>): void;
  /** Renews the bandwidth budget for full states; called at each heartbeat. */
  onHeartbeat(all: Iterable<Subscriber>): void;
  /** Routers that were picked last to lead next, the best first. */
  deputies(): readonly Candidate[];
}

/**
 * Minimum interval between changed tables, in ms; it grows with the number of
 * routers. Followers use tables only while they have no leader, and each update
 * costs kilobytes per follower.
 */
const MIN_TABLES_INTERVAL_MS = 1_000;
const TABLES_INTERVAL_PER_ROUTER_MS = 15;

/**
 * A configuration is relayed if that occupies the leader's network link for at
 * most this time, in ms. Otherwise followers read it from the platform, which
 * is as fast as without a leader.
 */
const MAX_RELAY_MS = 400;

/**
 * Share of the leader's network link for full states, which new followers get
 * and which take tens of kilobytes each. Without the limit, 77 routers that
 * connected at once waited four seconds on a 10 Mbit/s link, and left as the
 * leader timed out.
 */
const FULL_STATE_LINK_SHARE = 0.4;

/**
 * Versions that are kept to send changes to followers that come back: list and
 * tables change a few times a second while servers are lost.
 */
const MAX_LIST_VERSIONS = 32;
const MAX_TABLES_VERSIONS = 8;

/** Creates the subscriber for a new stream. */
export function createSubscriber(stream: Subscriber['stream']): Subscriber {
  return {
    ...{
      stream,
      lastSent: null,
      listDigest: null,
      held: null,
      candidate: null,
      awaitsHello: true,
      unreachable: 0,
    },
  };
}

/**
 * Creates the broadcaster. Subscribers that have the full state get changes.
 * New ones get the full state as soon as the bandwidth budget allows, and
 * heartbeats with only the deputies and the operator's orders until then.
 *
 * @example
 * ```ts
 * const broadcaster = createStateBroadcaster(cfg);
 * broadcaster.send(followers, followers);
 * ```
 */
export function createStateBroadcaster(
  cfg: BroadcasterConfig,
): StateBroadcaster {
  const shared = createSharedState(cfg);
  const timesShare = createTimesShare(cfg);
  let budget = fullStateBudget(cfg.room);

  return {
    deputies: shared.deputies,
    send(some, all) {
      const subscribers = [...all];
      const totals = {routers: subscribers.length + 1};
      // Looks at all followers, so not for each that connects.
      if (some === all || shared.deputies().length < MAX_DEPUTIES)
        shared.updateDeputies(candidatesToLead(subscribers));
      const next = shared.current(totals);
      const changes = new Map<SharedState, EncodedMessage>();
      const {deputies, orders} = next;
      const heartbeat = encodeLazily(() => ({
        ...heartbeatState(cfg, totals),
        ...orders,
        deputies,
      }));
      const firstStates = new Map<string, EncodedMessage>();
      const firstState = (subscriber: Subscriber): EncodedMessage => {
        const {listDigest, held} = subscriber;
        const id = JSON.stringify([listDigest, held]);
        const encoded = firstStates.get(id);
        if (encoded !== undefined) return encoded;
        const {known, kept} = shared.knownTo(subscriber);
        const state = stateSince(cfg, known, next, totals);
        const message = {
          bytes: encode({...state, ...(kept.length > 0 && {kept})}),
        };
        firstStates.set(id, message);
        return message;
      };
      for (const subscriber of some) {
        const {lastSent, stream, candidate, awaitsHello} = subscriber;
        if (candidate === null && awaitsHello) continue;
        if (lastSent !== null) {
          const mayLead = candidate !== null && deputies.includes(candidate);
          const times = mayLead ? timesShare.rowsFor(subscriber) : [];
          if (times.length > 0) {
            subscriber.lastSent = next;
            const state = stateSince(cfg, lastSent, next, totals);
            stream.write({bytes: encode({...state, times})});
            continue;
          }
          const message = changes.get(lastSent) ?? {
            bytes: encode(stateSince(cfg, lastSent, next, totals)),
          };
          changes.set(lastSent, message);
          subscriber.lastSent = next;
          stream.write(message);
          continue;
        }
        if (budget <= 0) {
          stream.write(heartbeat());
          continue;
        }
        const message = firstState(subscriber);
        budget -= message.bytes.length;
        subscriber.lastSent = next;
        stream.write(message);
      }
    },
    onHeartbeat(all) {
      budget = fullStateBudget(cfg.room);
      // A follower whose `hello` hasn't arrived by now gets the state anyway.
      for (const subscriber of all) subscriber.awaitsHello = false;
    },
  };
}

/** Those that reach all servers that others reach, if there are any such. */
function candidatesToLead(
  subscribers: readonly Subscriber[],
): readonly Candidate[] {
  const known = subscribers.filter(({candidate}) => candidate !== null);
  const reaching = known.filter(({unreachable}) => unreachable === 0);
  const preferred = reaching.length > 0 ? reaching : known;
  return preferred.map(({candidate}) => candidate!);
}

/** The state for all followers at one point in time. */
export interface SharedState {
  readonly tables: ServedTables;
  readonly tablesVersion: string;
  readonly servers: readonly ServerInfo[];
  readonly listVersion: number;
  readonly config: WireConfig | null;
  readonly orders: OperatorOrders;
  readonly deputies: readonly Candidate[];
  readonly suspects: readonly Suspect[];
  readonly limits: readonly LimitRow[];
}

/** What operators ordered, up to the position that the message names. */
type OperatorOrders = Required<
  Pick<StateMessage, 'configVersion' | 'evacuated'>
>;

/** Tracks the state for followers; returns the same object until it changes. */
function createSharedState(cfg: BroadcasterConfig): {
  /** `candidates` are the routers that may lead next. */
  updateDeputies(candidates: readonly Candidate[]): void;
  deputies(): readonly Candidate[];
  current(totals: RouterTotals): SharedState;
  /** What a follower that was sent nothing has of the current state. */
  knownTo(subscriber: Pick<Subscriber, 'listDigest' | 'held'>): {
    readonly known: KnownState;
    readonly kept: readonly HeldPart[];
  };
} {
  const {leadership, list, clock, config} = cfg;
  let shared: SharedState = {
    tables: new Map(),
    tablesVersion: '',
    servers: [],
    listVersion: -1,
    config: null,
    orders: NO_ORDERS,
    deputies: [],
    suspects: [],
    limits: NO_LIMITS,
  };
  const listVersions = createPartVersions(digestServers, MAX_LIST_VERSIONS);
  const tablesVersions = createPartVersions(
    DIGESTS.tables,
    MAX_TABLES_VERSIONS,
  );
  const digestLimits = digestOnce(DIGESTS.limits);
  const digestSuspects = digestOnce(DIGESTS.suspects);
  let tablesUpdatedAt = -Infinity;
  let suspectRows: readonly Suspect[] = [];

  const updateTables = (routers: number): void => {
    const tables = leadership.tables();
    const tablesVersion = leadership.version();
    const now = clock.now();
    if (tables === null || tablesVersion === shared.tablesVersion) return;
    if (
      now - tablesUpdatedAt <
      Math.max(MIN_TABLES_INTERVAL_MS, routers * TABLES_INTERVAL_PER_ROUTER_MS)
    ) {
      return;
    }
    tablesUpdatedAt = now;
    tablesVersions.add(tables);
    shared = {...shared, tables, tablesVersion};
  };

  const updateList = (): void => {
    const snapshot = list.snapshot();
    const listVersion = list.version();
    if (snapshot === null || listVersion === shared.listVersion) return;
    const {servers} = snapshot;
    listVersions.add(servers);
    shared = {...shared, servers, listVersion};
  };

  const updateConfig = (): void => {
    const newest = config();
    if (newest?.version === shared.config?.version) return;
    shared = {...shared, config: newest};
  };

  const updateOrders = (): void => {
    const position = cfg.configPosition();
    const {configVersion, evacuated} = shared.orders;
    const version = position?.version ?? null;
    const next = position?.evacuated ?? [];
    if (version === configVersion && next.join() === evacuated.join()) return;
    shared = {...shared, orders: {configVersion: version, evacuated: next}};
  };

  const updateSuspects = (): void => {
    const rows = cfg.suspects.rows();
    if (rows === suspectRows) return;
    suspectRows = rows;
    const sentDigests = new Set(shared.suspects.map(({content}) => content));
    // Rows that were sent before are also sent when they are cleared.
    const suspects = rows.filter(
      row => shouldBroadcast(row) || sentDigests.has(row.content),
    );
    if (!hasSameRows(suspects, shared.suspects)) shared = {...shared, suspects};
  };

  const updateLimits = (): void => {
    const limits = cfg.limits.rows();
    if (!hasSameLimits(limits, shared.limits)) shared = {...shared, limits};
  };

  const updateDeputies = (candidates: readonly Candidate[]): void => {
    const deputies = pickDeputies(candidates);
    const isKnown =
      deputies.length === shared.deputies.length &&
      deputies.every((each, i) => each === shared.deputies[i]);
    if (!isKnown) shared = {...shared, deputies};
  };

  return {
    updateDeputies,
    deputies: () => shared.deputies,
    knownTo({listDigest, held}) {
      const listed = listVersions.find(listDigest);
      const servers = listed && withoutCold(listed, shared.servers);
      if (held === null) return {known: {...NOTHING_KNOWN, servers}, kept: []};
      const {config, limits, suspects} = shared;
      const tables = tablesVersions.find(held.tables);
      const same = {
        ...(tables !== null && {tables}),
        ...(config !== null &&
          DIGESTS.config(config) === held.config && {config}),
        ...(digestLimits(limits) === held.limits && {limits}),
        ...(digestSuspects(suspects) === held.suspects && {suspects}),
      };
      const kept = Object.keys(same) as HeldPart[];
      return {known: {...NOTHING_KNOWN, servers, ...same}, kept};
    },
    current({routers}) {
      updateTables(routers);
      updateList();
      updateConfig();
      updateOrders();
      updateSuspects();
      updateLimits();
      return shared;
    },
  };
}

/**
 * The servers of a list that a follower has, without those that are cold in the
 * current one: its digest doesn't tell whether it knows that.
 */
function withoutCold(
  listed: readonly ServerInfo[],
  current: readonly ServerInfo[],
): readonly ServerInfo[] {
  const cold = new Set(
    current.filter(({coldUntil}) => coldUntil > 0).map(({id}) => id),
  );
  return cold.size === 0 ? listed : listed.filter(({id}) => !cold.has(id));
}

function hasSameRows(a: readonly Suspect[], b: readonly Suspect[]): boolean {
  return a.length === b.length && a.every((row, i) => row === b[i]);
}

function hasSameLimits(
  a: readonly LimitRow[],
  b: readonly LimitRow[],
): boolean {
  if (a.length !== b.length) return false;
  return a.every(
    ([server, perSecond], i) => server === b[i]![0] && perSecond === b[i]![1],
  );
}

const NO_LIMITS: readonly LimitRow[] = [];
const NO_ORDERS: OperatorOrders = {configVersion: null, evacuated: []};

/** The state known to a router that was sent nothing. */
const NOTHING_KNOWN = {
  tables: new Map() as ServedTables,
  servers: null,
  config: null,
  orders: null,
  deputies: null,
  suspects: [],
  limits: NO_LIMITS,
} as const;

/** Totals over all routers. */
interface RouterTotals {
  readonly routers: number;
}

/** The state that a router has; null for parts that it was never sent. */
type KnownState = Pick<
  SharedState,
  'tables' | 'config' | 'suspects' | 'limits'
> & {
  readonly servers: SharedState['servers'] | null;
  readonly orders: OperatorOrders | null;
  readonly deputies: SharedState['deputies'] | null;
};

/** The changes from what a router knows to the next state. */
function stateSince(
  cfg: BroadcasterConfig,
  known: KnownState,
  next: SharedState,
  totals: RouterTotals,
): StateMessage {
  const {list, room, clock} = cfg;
  const isNewConfig = known.config !== next.config;
  const {routers} = totals;
  const knownRows = new Set(known.suspects);
  const suspects = next.suspects.filter(row => !knownRows.has(row));
  return {
    ...heartbeatState(cfg, totals),
    tables: diffTables(known.tables, next.tables),
    list: diffList(known.servers, next.servers, clock.now()),
    listCursor: list.snapshot()?.cursor ?? null,
    config:
      isNewConfig && fitsLink(next.config, room, routers) ? next.config : null,
    deputies: known.deputies === next.deputies ? null : next.deputies,
    ...(suspects.length > 0 && {suspects}),
    ...(known.limits !== next.limits && {limits: next.limits}),
    ...(known.orders !== next.orders && next.orders),
  };
}

/** A heartbeat without state. */
function heartbeatState(
  cfg: BroadcasterConfig,
  totals: RouterTotals,
): StateMessage {
  const {list, clock, configAgeMs, contactAgeMs} = cfg;
  return {
    ...{kind: 'state', tables: null, list: null, listCursor: null},
    listAgeMs: Math.round(list.ageMs()),
    configCursor: cfg.configPosition()?.cursor ?? null,
    config: null,
    configAgeMs: Math.round(configAgeMs()),
    sentAt: Math.round(clock.now()),
    deputies: null,
    ...totals,
    touchMs: Math.round(contactAgeMs()),
  };
}

/** Returns a function that encodes the message at its first call only. */
function encodeLazily(message: () => StateMessage): () => EncodedMessage {
  let result: EncodedMessage | null = null;
  return () => (result ??= {bytes: encode(message())});
}

/** Bytes of full states that may be sent between two heartbeats. */
function fullStateBudget({linkMbps}: HostCapacity): number {
  return (linkMbps * 1_000 * HEARTBEAT_MS * FULL_STATE_LINK_SHARE) / 8;
}

/** Whether the link can carry the configuration to all routers in time. */
function fitsLink(
  config: WireConfig | null,
  {linkMbps}: HostCapacity,
  routers: number,
): boolean {
  if (config === null) return false;
  const bits = encode(config).length * 8 * routers;
  return bits / 1_000 <= linkMbps * MAX_RELAY_MS;
}
