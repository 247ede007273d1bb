import type {ServerInfo} from '@banyandrum/dispatch/backend.js';
import type {
  LimitRow,
  ServerLimits,
} from '@banyandrum/dispatch/server-limits.js';
import {shouldBroadcast, type Suspect} from '@banyandrum/dispatch/suspect.js';
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
import {diffList, diffTables, digestOf} from './link-state.js';
import {pickDeputies, type Candidate, type Room} from './room.js';
import type {ServerList} from './server-list.js';

/** What telling the other routers needs. */
export interface TellerConfig {
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
  touchMs(): number;
  /** What this router's host has for leading. */
  readonly room: Room;
}

/** A router that is told. */
export interface Listener {
  readonly stream: {write(message: EncodedMessage): unknown};
  /** What it was told last; null until all was told once. */
  told: Shared | null;
  /** Of the list as it knew it when it came; null: not at all. */
  listDigest: string | null;
  /** Who it is; null until it said so. */
  candidate: Candidate | null;
  /** It may still say who it is, and what it knows. */
  isNew: boolean;
}

/** Tells other routers what this one, their leader, knows. */
export interface Teller {
  /** Tells some of `all` that listen. */
  tell(some: Iterable<Listener>, all: Iterable<Listener>): void;
  /** Another heartbeat: the link has room again. */
  beat(all: Iterable<Listener>): void;
}

/**
 * Routers get changed tables this often at the most, in ms, and less often the
 * more they are: they use them only while they can't hear the leader, and each
 * costs kilobytes to each of them.
 */
const TABLES_MS = 1_000;
const TABLES_MS_A_ROUTER = 15;

/**
 * A configuration is passed on where that takes the leader's link this long at
 * the most, in ms; else routers read it themselves, as fast as without it.
 */
const RELAY_MS = 400;

/**
 * Routers that just came are told all that there is, some tens of kilobytes
 * each, in this share of the leader's link. Told at once, 77 of them waited
 * four seconds on a link of 10 Mbit/s, and left for its silence.
 */
const WHOLE_SHARE = 0.4;

/** A router that just came. */
export function createListener(stream: Listener['stream']): Listener {
  return {
    ...{stream, told: null, listDigest: null, candidate: null, isNew: true},
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
export function createTeller(cfg: TellerConfig): Teller {
  const shared = createShared(cfg);
  let budget = wholeBytes(cfg.room);

  return {
    tell(some, all) {
      const candidates = [...all].map(({candidate}) => candidate);
      const next = shared.current(candidates.flatMap(each => each ?? []));
      const about = {routers: candidates.length + 1};
      const changes = new Map<Shared, EncodedMessage>();
      const {deputies} = next;
      const brief = encoded(() => ({...briefState(cfg, about), deputies}));
      const whole = encoded(() => stateFor(cfg, NOTHING_TOLD, next, about));
      const known = encoded(() =>
        stateFor(cfg, {...NOTHING_TOLD, servers: next.servers}, next, about),
      );
      for (const listener of some) {
        const {told, stream, candidate, listDigest, isNew} = listener;
        if (candidate === null && isNew) continue;
        if (told !== null) {
          const message = changes.get(told) ?? {
            bytes: encode(stateFor(cfg, told, next, about)),
          };
          changes.set(told, message);
          listener.told = next;
          stream.write(message);
          continue;
        }
        if (budget <= 0) {
          stream.write(brief());
          continue;
        }
        const message = listDigest === next.listDigest ? known() : whole();
        budget -= message.bytes.length;
        listener.told = next;
        stream.write(message);
      }
    },
    beat(all) {
      budget = wholeBytes(cfg.room);
      // One that says nothing by now is told all the same.
      for (const listener of all) listener.isNew = false;
    },
  };
}

/** What all routers are told, as it was at one time. */
export interface Shared {
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
function createShared(cfg: TellerConfig): {
  /** `candidates`: those that could lead next. */
  current(candidates: readonly Candidate[]): Shared;
} {
  const {leadership, list, clock, config} = cfg;
  let shared: Shared = {
    tables: new Map(),
    tablesVersion: '',
    servers: [],
    listVersion: -1,
    listDigest: digestOf([]),
    config: null,
    deputies: [],
    suspects: [],
    limits: NO_LIMITS,
  };
  let tablesAt = -Infinity;
  let suspectRows: readonly Suspect[] = [];

  const takeTables = (routers: number): void => {
    const tables = leadership.tables();
    const tablesVersion = leadership.version();
    const now = clock.now();
    if (tables === null || tablesVersion === shared.tablesVersion) return;
    if (now - tablesAt < Math.max(TABLES_MS, routers * TABLES_MS_A_ROUTER)) {
      return;
    }
    tablesAt = now;
    shared = {...shared, tables, tablesVersion};
  };

  const takeList = (): void => {
    const snapshot = list.snapshot();
    const listVersion = list.version();
    if (snapshot === null || listVersion === shared.listVersion) return;
    const {servers} = snapshot;
    const listDigest = digestOf(servers);
    shared = {...shared, servers, listVersion, listDigest};
  };

  const takeConfig = (): void => {
    const newest = config();
    if (newest?.version === shared.config?.version) return;
    shared = {...shared, config: newest};
  };

  const takeSuspects = (): void => {
    const rows = cfg.suspects.rows();
    if (rows === suspectRows) return;
    suspectRows = rows;
    const told = new Set(shared.suspects.map(({content}) => content));
    // What was told once is told of its clearing, too.
    const suspects = rows.filter(
      row => shouldBroadcast(row) || told.has(row.content),
    );
    if (!isSameRows(suspects, shared.suspects)) shared = {...shared, suspects};
  };

  const takeLimits = (): void => {
    const limits = cfg.limits.rows();
    if (!isSameLimits(limits, shared.limits)) shared = {...shared, limits};
  };

  const takeDeputies = (candidates: readonly Candidate[]): void => {
    const deputies = pickDeputies(candidates);
    const isKnown =
      deputies.length === shared.deputies.length &&
      deputies.every((each, at) => each === shared.deputies[at]);
    if (!isKnown) shared = {...shared, deputies};
  };

  return {
    current(candidates) {
      takeDeputies(candidates);
      takeTables(candidates.length + 1);
      takeList();
      takeConfig();
      takeSuspects();
      takeLimits();
      return shared;
    },
  };
}

function isSameRows(a: readonly Suspect[], b: readonly Suspect[]): boolean {
  return a.length === b.length && a.every((row, at) => row === b[at]);
}

function isSameLimits(a: readonly LimitRow[], b: readonly LimitRow[]): boolean {
  if (a.length !== b.length) return false;
  return a.every(
    ([server, perSecond], at) =>
      server === b[at]![0] && perSecond === b[at]![1],
  );
}

const NO_LIMITS: readonly LimitRow[] = [];

/** What a router knows that was told nothing. */
const NOTHING_TOLD = {
  tables: new Map() as ServedTables,
  servers: null,
  config: null,
  deputies: null,
  suspects: [],
  limits: NO_LIMITS,
} as const;

/** What is told of all routers. */
interface About {
  readonly routers: number;
}

/** What a router knows; null where it was told nothing of it. */
type Told = Pick<Shared, 'tables' | 'config' | 'suspects' | 'limits'> & {
  readonly servers: Shared['servers'] | null;
  readonly deputies: Shared['deputies'] | null;
};

function stateFor(
  cfg: TellerConfig,
  told: Told,
  next: Shared,
  about: About,
): StateMessage {
  const {list, room} = cfg;
  const isNews = told.config !== next.config;
  const {routers} = about;
  const known = new Set(told.suspects);
  const suspects = next.suspects.filter(row => !known.has(row));
  return {
    ...briefState(cfg, about),
    tables: diffTables(told.tables, next.tables),
    list: diffList(told.servers, next.servers),
    listCursor: list.snapshot()?.cursor ?? null,
    config: isNews && fits(next.config, room, routers) ? next.config : null,
    deputies: told.deputies === next.deputies ? null : next.deputies,
    ...(suspects.length > 0 && {suspects}),
    ...(told.limits !== next.limits && {limits: next.limits}),
  };
}

/** Shows that the leader is there, for one that was not told the rest yet. */
function briefState(
  {list, config, configCursor, configAgeMs, touchMs}: TellerConfig,
  about: About,
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
function encoded(message: () => StateMessage): () => EncodedMessage {
  let result: EncodedMessage | null = null;
  return () => (result ??= {bytes: encode(message())});
}

/** Bytes of whole states that the link carries between two heartbeats. */
function wholeBytes({linkMbps}: Room): number {
  return (linkMbps * 1_000 * HEARTBEAT_MS * WHOLE_SHARE) / 8;
}

/** Whether the link carries the configuration to all routers in time. */
function fits(
  config: WireConfig | null,
  {linkMbps}: Room,
  routers: number,
): boolean {
  if (config === null) return false;
  const bits = encode(config).length * 8 * routers;
  return bits / 1_000 <= linkMbps * RELAY_MS;
}
