import type {ServerInfo} from '@banyandrum/dispatch/backend.js';
import type {
  LimitRow,
  ServerLimits,
} from '@banyandrum/dispatch/server-limits.js';
import {isWorthTelling, type Suspect} from '@banyandrum/dispatch/suspect.js';
import type {Suspects} from '@banyandrum/dispatch/suspects.js';
import type {Clock} from '@banyandrum/base/clock.js';
import type {ServedTables} from './key-owners.js';
import type {Leadership} from './leadership.js';
import type {WireConfig} from './link-config.js';
import {encode} from './link-codec.js';
import {
  HEARTBEAT_MS,
  type EncodedMessage,
  type StateMessage,
} from './link-messages.js';
import {diffList, diffTables, digestServers} from './link-state.js';
import {
  pickDeputies,
  type Candidate,
  type HostCapacity,
} from './host-capacity.js';
import type {ServerList} from './server-list.js';

/** What telling the other routers needs. */
export interface BroadcasterConfig {
  readonly clock: Clock;
  readonly leadership: Leadership;
  readonly list: ServerList;
  readonly suspects: Pick<Suspects, 'rows'>;
  readonly limits: Pick<ServerLimits, 'rows'>;
  configCursor(): number | null;
  /** The newest version that this router knows, and its cursor. */
  config(): WireConfig | null;
  /** Since when it knows of nothing newer, in ms. */
  configAgeMs(): number;
  /** Since when this router had no answer of the platform, in ms. */
  contactAgeMs(): number;
  /** What this router's host has for leading. */
  readonly room: HostCapacity;
}

/** A router that is told. */
export interface Subscriber {
  readonly stream: {write(message: EncodedMessage): unknown};
  /** What it was told last; null until all was told once. */
  lastSent: SharedState | null;
  /** Of the list as it knew it when it came; null: not at all. */
  listDigest: string | null;
  /** Who it is; null until it said so. */
  candidate: Candidate | null;
  /** It may still say who it is, and what it knows. */
  awaitsHello: boolean;
}

/** Tells other routers what this one, their leader, knows. */
export interface StateBroadcaster {
  /** Tells some of `all` that listen. */
  send(some: Iterable<Subscriber>, all: Iterable<Subscriber>): void;
  /** Another heartbeat: the link has room again. */
  onHeartbeat(all: Iterable<Subscriber>): void;
}

/**
 * Routers get changed tables this often at the most, in ms, and less often the
 * more they are: they use them only while they can't hear the leader, and each
 * costs kilobytes to each of them.
 */
const MIN_TABLES_INTERVAL_MS = 1_000;
const TABLES_INTERVAL_PER_ROUTER_MS = 15;

/**
 * A configuration is passed on where that takes the leader's link this long at
 * the most, in ms; else routers read it themselves, as fast as without it.
 */
const MAX_RELAY_MS = 400;

/**
 * Routers that just came are told all that there is, some tens of kilobytes
 * each, in this share of the leader's link. Told at once, 77 of them waited
 * four seconds on a link of 10 Mbit/s, and left for its silence.
 */
const FULL_STATE_LINK_SHARE = 0.4;

/** A router that just came. */
export function createSubscriber(stream: Subscriber['stream']): Subscriber {
  return {
    ...{
      stream,
      lastSent: null,
      listDigest: null,
      candidate: null,
      awaitsHello: true,
    },
  };
}

/**
 * Makes the teller. Those that were told all once get changes; those that came
 * get all, as far as the link allows, and a brief heartbeat until then.
 *
 * @example
 * ```ts
 * const teller = createTeller(cfg);
 * teller.tell(followers, followers);
 * ```
 */
export function createStateBroadcaster(
  cfg: BroadcasterConfig,
): StateBroadcaster {
  const shared = createSharedState(cfg);
  let budget = fullStateBudget(cfg.room);

  return {
    send(some, all) {
      const candidates = [...all].map(({candidate}) => candidate);
      const next = shared.current(candidates.flatMap(each => each ?? []));
      const about = {routers: candidates.length + 1};
      const changes = new Map<SharedState, EncodedMessage>();
      const {deputies} = next;
      const brief = encodeLazily(() => ({
        ...heartbeatState(cfg, about),
        deputies,
      }));
      const whole = encodeLazily(() =>
        stateSince(cfg, NOTHING_KNOWN, next, about),
      );
      const known = encodeLazily(() =>
        stateSince(cfg, {...NOTHING_KNOWN, servers: next.servers}, next, about),
      );
      for (const listener of some) {
        const {
          lastSent: told,
          stream,
          candidate,
          listDigest,
          awaitsHello: isNew,
        } = listener;
        if (candidate === null && isNew) continue;
        if (told !== null) {
          const message = changes.get(told) ?? {
            bytes: encode(stateSince(cfg, told, next, about)),
          };
          changes.set(told, message);
          listener.lastSent = next;
          stream.write(message);
          continue;
        }
        if (budget <= 0) {
          stream.write(brief());
          continue;
        }
        const message = listDigest === next.listDigest ? known() : whole();
        budget -= message.bytes.length;
        listener.lastSent = next;
        stream.write(message);
      }
    },
    onHeartbeat(all) {
      budget = fullStateBudget(cfg.room);
      // One that says nothing by now is told all the same.
      for (const listener of all) listener.awaitsHello = false;
    },
  };
}

/** What all routers are told, as it was at one time. */
export interface SharedState {
  readonly tables: ServedTables;
  readonly tablesVersion: string;
  readonly servers: readonly ServerInfo[];
  readonly listVersion: number;
  readonly listDigest: string;
  readonly config: WireConfig | null;
  readonly deputies: readonly Candidate[];
  readonly suspects: readonly Suspect[];
  readonly limits: readonly LimitRow[];
}

/** Keeps what routers are told; the same object while nothing changed. */
function createSharedState(cfg: BroadcasterConfig): {
  /** `candidates`: those that could lead next. */
  current(candidates: readonly Candidate[]): SharedState;
} {
  const {leadership, list, clock, config} = cfg;
  let shared: SharedState = {
    tables: new Map(),
    tablesVersion: '',
    servers: [],
    listVersion: -1,
    listDigest: digestServers([]),
    config: null,
    deputies: [],
    suspects: [],
    limits: NO_LIMITS,
  };
  let tablesAt = -Infinity;
  let suspectRows: readonly Suspect[] = [];

  const updateTables = (routers: number): void => {
    const tables = leadership.tables();
    const tablesVersion = leadership.version();
    const now = clock.now();
    if (tables === null || tablesVersion === shared.tablesVersion) return;
    if (
      now - tablesAt <
      Math.max(MIN_TABLES_INTERVAL_MS, routers * TABLES_INTERVAL_PER_ROUTER_MS)
    ) {
      return;
    }
    tablesAt = now;
    shared = {...shared, tables, tablesVersion};
  };

  const updateList = (): void => {
    const snapshot = list.snapshot();
    const listVersion = list.version();
    if (snapshot === null || listVersion === shared.listVersion) return;
    const {servers} = snapshot;
    const listDigest = digestServers(servers);
    shared = {...shared, servers, listVersion, listDigest};
  };

  const updateConfig = (): void => {
    const newest = config();
    if (newest?.version === shared.config?.version) return;
    shared = {...shared, config: newest};
  };

  const updateSuspects = (): void => {
    const rows = cfg.suspects.rows();
    if (rows === suspectRows) return;
    suspectRows = rows;
    const told = new Set(shared.suspects.map(({content}) => content));
    // What was told once is told of its clearing, too.
    const suspects = rows.filter(
      row => isWorthTelling(row) || told.has(row.content),
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
      deputies.every((each, at) => each === shared.deputies[at]);
    if (!isKnown) shared = {...shared, deputies};
  };

  return {
    current(candidates) {
      updateDeputies(candidates);
      updateTables(candidates.length + 1);
      updateList();
      updateConfig();
      updateSuspects();
      updateLimits();
      return shared;
    },
  };
}

function hasSameRows(a: readonly Suspect[], b: readonly Suspect[]): boolean {
  return a.length === b.length && a.every((row, at) => row === b[at]);
}

function hasSameLimits(
  a: readonly LimitRow[],
  b: readonly LimitRow[],
): boolean {
  if (a.length !== b.length) return false;
  return a.every(
    ([server, perSecond], at) =>
      server === b[at]![0] && perSecond === b[at]![1],
  );
}

const NO_LIMITS: readonly LimitRow[] = [];

/** What a router knows that was told nothing. */
const NOTHING_KNOWN = {
  tables: new Map() as ServedTables,
  servers: null,
  config: null,
  deputies: null,
  suspects: [],
  limits: NO_LIMITS,
} as const;

/** What is told of all routers. */
interface RouterTotals {
  readonly routers: number;
}

/** What a router knows; null where it was told nothing of it. */
type KnownState = Pick<
  SharedState,
  'tables' | 'config' | 'suspects' | 'limits'
> & {
  readonly servers: SharedState['servers'] | null;
  readonly deputies: SharedState['deputies'] | null;
};

function stateSince(
  cfg: BroadcasterConfig,
  told: KnownState,
  next: SharedState,
  about: RouterTotals,
): StateMessage {
  const {list, room} = cfg;
  const isNews = told.config !== next.config;
  const {routers} = about;
  const known = new Set(told.suspects);
  const suspects = next.suspects.filter(row => !known.has(row));
  return {
    ...heartbeatState(cfg, about),
    tables: diffTables(told.tables, next.tables),
    list: diffList(told.servers, next.servers),
    listCursor: list.snapshot()?.cursor ?? null,
    config: isNews && fitsLink(next.config, room, routers) ? next.config : null,
    deputies: told.deputies === next.deputies ? null : next.deputies,
    ...(suspects.length > 0 && {suspects}),
    ...(told.limits !== next.limits && {limits: next.limits}),
  };
}

/** Shows that the leader is there, for one that was not told the rest yet. */
function heartbeatState(
  {
    list,
    config,
    configCursor,
    configAgeMs,
    contactAgeMs: touchMs,
  }: BroadcasterConfig,
  about: RouterTotals,
): StateMessage {
  return {
    ...{kind: 'state', tables: null, list: null, listCursor: null},
    listAgeMs: Math.round(list.ageMs()),
    configCursor: config() === null ? null : configCursor(),
    config: null,
    configAgeMs: Math.round(configAgeMs()),
    deputies: null,
    ...about,
    touchMs: Math.round(touchMs()),
  };
}

/** A message that is encoded once, where it is needed at all. */
function encodeLazily(message: () => StateMessage): () => EncodedMessage {
  let result: EncodedMessage | null = null;
  return () => (result ??= {bytes: encode(message())});
}

/** Bytes of whole states that the link carries between two heartbeats. */
function fullStateBudget({linkMbps}: HostCapacity): number {
  return (linkMbps * 1_000 * HEARTBEAT_MS * FULL_STATE_LINK_SHARE) / 8;
}

/** Whether the link carries the configuration to all routers in time. */
function fitsLink(
  config: WireConfig | null,
  {linkMbps}: HostCapacity,
  routers: number,
): boolean {
  if (config === null) return false;
  const bits = encode(config).length * 8 * routers;
  return bits / 1_000 <= linkMbps * MAX_RELAY_MS;
}
