import type {Clock} from '@banyandrum/base/clock.js';
import type {Emit} from '@banyandrum/dispatch/events.js';
import type {PlaceIssuer} from '@banyandrum/dispatch/place-issuer.js';
import type {PlaceEnd} from '@banyandrum/dispatch/places.js';
import {
  Server,
  ServerCredentials,
  type sendUnaryData,
  type ServerDuplexStream,
} from '@grpc/grpc-js';
import type {ServerInfo} from '@banyandrum/dispatch/backend.js';
import type {ServedTables} from './key-owners.js';
import type {Leadership} from './leadership.js';
import {
  encode,
  HEARTBEAT_MS,
  LINK_SERVICE,
  toCounts,
  type EncodedMessage,
  type FollowerMessage,
  type LeaderMessage,
  type OfferReply,
  type StateMessage,
} from './link-messages.js';
import type {WireConfig} from './link-config.js';
import {diffList, diffTables} from './link-state.js';
import {pickDeputies, pickRoomiest, type Candidate, type Room} from './room.js';
import type {ServerList} from './server-list.js';

/** What serving the other routers needs. */
export interface LinkServerConfig {
  /** `ip:port`. */
  readonly listen: string;
  readonly clock: Clock;
  readonly emit: Emit;
  readonly leadership: Leadership;
  readonly issuer: PlaceIssuer;
  readonly list: ServerList;
  configCursor(): number | null;
  /** The newest version that this router knows, and its cursor. */
  config(): WireConfig | null;
  /** Since when it knows of nothing newer, in ms. */
  configAgeMs(): number;
  /** Whom this router follows, `ip:port`; null: nobody. */
  leader(): string | null;
  /** Since when this router had no answer of the platform, in ms. */
  touchMs(): number;
  noteReplaced(server: string): void;
  /** Another router asks this one to lead; whether it does then. */
  onOffered(): Promise<boolean>;
  /** What this router's host has for leading. */
  readonly room: Room;
  /** A router asked for a place for the key. */
  noteRequest(service: string, key: number): void;
}

/** The leader's end of the streams. */
export interface LinkServer {
  /** Routers that follow this one. */
  followers(): number;
  close(): void;
}

/**
 * Routers get changed tables this often at the most, in ms: they use them only
 * while they can't hear the leader, and each costs kilobytes to each of them.
 */
const TABLES_MS = 1_000;

/**
 * A router's connection that went silent without an end is closed, in ms: the
 * places in use on it would never come back, and with them the servers' slots.
 * By the time that this takes, most requests there have come to their end.
 */
const PING_MS = 2_000;
const PING_WITHIN_MS = 1_500;

/**
 * A configuration is passed on where that takes the leader's link this long at
 * the most, in ms; else routers read it themselves, as fast as without it.
 */
const RELAY_MS = 400;

type Stream = ServerDuplexStream<
  FollowerMessage,
  LeaderMessage | EncodedMessage
>;
type TakeBack = (how: PlaceEnd, tookMs: number) => void;

interface Follower {
  readonly stream: Stream;
  /** Asks that wait and places that are in use, by number. */
  readonly asks: Map<number, TakeBack>;
  /** What it was told last; null until all was told once. */
  told: Shared | null;
  /** Up to where it knew the list as it came; null: not at all. */
  listCursor: number | null;
  /** Who it is; null until it said so. */
  candidate: Candidate | null;
  /** It was asked to lead, and has not begun. */
  wasAsked: boolean;
  /** It leads now, by its own word. */
  hasBegun: boolean;
}

/**
 * Routers that just came are told all that there is, some tens of kilobytes
 * each, in this share of the leader's link. Told at once, 77 of them waited
 * four seconds on a link of 10 Mbit/s, and left for its silence.
 */
const WHOLE_SHARE = 0.4;

/**
 * One that was asked to lead has this time for it, in ms, before another is
 * asked: two joins of its first exchange with a platform that is slow.
 */
const MOVE_MS = 3_000;

/**
 * Serves the other routers while this one leads: places, and the state they
 * route by. Streams end when it doesn't lead any more.
 *
 * @example
 * ```ts
 * const server = await serveLinks(cfg);
 * ```
 */
export async function serveLinks(cfg: LinkServerConfig): Promise<LinkServer> {
  const followers = new Set<Follower>();
  const server = new Server({
    'grpc.keepalive_time_ms': PING_MS,
    'grpc.keepalive_timeout_ms': PING_WITHIN_MS,
  });

  const shared = createShared(cfg);

  let budget = wholeBytes(cfg.room);

  /** Tells changes, and all to those that came, as far as the link allows. */
  const tell = (some: Iterable<Follower>): void => {
    const next = shared.current();
    const deputies = pickDeputies(
      [...followers].flatMap(({candidate}) => candidate ?? []),
    );
    const about = {routers: followers.size + 1, deputies};
    const brief = encoded(() => briefState(cfg, about));
    const changes = new Map<Shared, EncodedMessage>();
    const whole = encoded(() => stateFor(cfg, NOTHING_TOLD, next, about));
    const known = encoded(() =>
      stateFor(cfg, {...NOTHING_TOLD, servers: next.servers}, next, about),
    );
    for (const follower of some) {
      const {told, stream, candidate, listCursor} = follower;
      // It says first who it is, and what it knows.
      if (candidate === null) continue;
      if (told !== null) {
        const message = changes.get(told) ?? {
          bytes: encode(stateFor(cfg, told, next, about)),
        };
        changes.set(told, message);
        follower.told = next;
        stream.write(message);
        continue;
      }
      const isKnown = listCursor !== null && listCursor === next.listCursor;
      const message = isKnown ? known() : whole();
      if (budget <= 0) {
        stream.write(brief());
        continue;
      }
      budget -= message.bytes.length;
      follower.told = next;
      stream.write(message);
    }
  };

  let askedAt = -Infinity;

  const tellAll = (): void => {
    if (cfg.leadership.isLeading()) return tell(followers);
    const next = [...followers].find(({hasBegun}) => hasBegun);
    const leader = next?.candidate?.address ?? cfg.leader();
    for (const {stream} of followers) {
      stream.write({kind: 'elsewhere', leader});
      stream.end();
    }
  };

  const considerMove = (): void => {
    const now = cfg.clock.now();
    if (!cfg.leadership.isLeading() || now - askedAt < MOVE_MS) return;
    const next = pickRoomiest(cfg.room, candidatesOf(followers));
    if (next === null) return;
    askedAt = now;
    next.follower.wasAsked = true;
    cfg.emit('leading-offered', {to: next.address});
    next.follower.stream.write({kind: 'lead'});
  };
  const ctx: TakeContext = {
    ...cfg,
    greet(follower) {
      tell([follower]);
      considerMove();
    },
  };

  cfg.leadership.subscribe(() => {
    if (!cfg.leadership.isLeading()) tellAll();
  });
  cfg.list.subscribe(tellAll);

  const beat = (): void => {
    budget = wholeBytes(cfg.room);
    tellAll();
    considerMove();
    cancelBeat = cfg.clock.after(HEARTBEAT_MS, beat);
  };
  let cancelBeat = cfg.clock.after(HEARTBEAT_MS, beat);

  const follow = (stream: Stream): void => {
    if (!cfg.leadership.isLeading()) {
      stream.write({kind: 'elsewhere', leader: cfg.leader()});
      return void stream.end();
    }
    const follower: Follower = {
      ...{stream, asks: new Map()},
      ...{
        told: null,
        listCursor: null,
        candidate: null,
        wasAsked: false,
        hasBegun: false,
      },
    };
    followers.add(follower);
    const leave = (): void => {
      if (!followers.delete(follower)) return;
      for (const takeBack of follower.asks.values()) takeBack('cancelled', 0);
      follower.asks.clear();
      // It stops following as it begins to lead.
      if (follower.wasAsked) cfg.leadership.check();
    };
    stream.on('data', message => take(ctx, follower, message));
    stream.on('end', () => {
      leave();
      stream.end();
    });
    // A stream that breaks off also ends; its router comes back by itself.
    stream.on('error', leave);
    stream.on('cancelled', leave);
  };

  const lead = (_call: unknown, reply: sendUnaryData<OfferReply>): void => {
    void cfg.onOffered().then(leads => reply(null, {leads}));
  };

  server.addService(LINK_SERVICE, {follow, lead});
  await new Promise<void>((resolve, reject) => {
    const credentials = ServerCredentials.createInsecure();
    server.bindAsync(cfg.listen, credentials, err =>
      err === null ? resolve() : reject(err),
    );
  });
  return {
    followers: () => followers.size,
    close() {
      cancelBeat();
      server.forceShutdown();
    },
  };
}

function* candidatesOf(
  followers: Iterable<Follower>,
): Iterable<Candidate & {readonly follower: Follower}> {
  for (const follower of followers) {
    const {candidate, wasAsked} = follower;
    if (candidate !== null && !wasAsked) yield {...candidate, follower};
  }
}

/** What messages of routers are taken with. */
interface TakeContext extends LinkServerConfig {
  /** A router said who it is. */
  greet(follower: Follower): void;
}

type Takers = {
  readonly [K in FollowerMessage['kind']]: (
    ctx: TakeContext,
    follower: Follower,
    message: Extract<FollowerMessage, {kind: K}>,
  ) => void;
};

const TAKERS: Takers = {
  hello({greet}, follower, {address, room, dataCentre, listCursor}) {
    follower.candidate = {address, room, dataCentre};
    follower.listCursor = listCursor;
    greet(follower);
  },
  leading({leadership}, follower, {epoch}) {
    follower.hasBegun = true;
    leadership.noteTerm(epoch);
  },
  ask(cfg, {stream, asks}, {ask, place}) {
    if (!cfg.leadership.isLeading()) {
      stream.write({kind: 'reply', ask, reply: {kind: 'unavailable'}});
      return;
    }
    if (place.key !== null) cfg.noteRequest(place.service, place.key);
    let isRefused = false;
    const takeBack = cfg.issuer.ask(place, reply => {
      isRefused = reply.kind !== 'granted';
      if (isRefused) asks.delete(ask);
      stream.write({kind: 'reply', ask, reply});
    });
    if (!isRefused) asks.set(ask, takeBack);
  },
  end(_cfg, {asks}, {ask, how, tookMs}) {
    asks.get(ask)?.(how, tookMs);
    asks.delete(ask);
  },
  counts(cfg, _follower, {counts}) {
    cfg.leadership.takeCounts(toCounts(counts));
  },
  replaced(cfg, _follower, {server}) {
    cfg.noteReplaced(server);
  },
};

function take(
  ctx: TakeContext,
  follower: Follower,
  message: FollowerMessage,
): void {
  const taker = TAKERS[message.kind] as Takers[FollowerMessage['kind']];
  taker(ctx, follower, message as never);
}

/** What all routers are told, as it was at one time. */
interface Shared {
  readonly tables: ServedTables;
  readonly tablesVersion: string;
  readonly servers: readonly ServerInfo[];
  readonly listVersion: number;
  readonly listCursor: number | null;
  readonly config: WireConfig | null;
}

/** Keeps what routers are told; the same object while nothing changed. */
function createShared({leadership, list, clock, config}: LinkServerConfig): {
  current(): Shared;
} {
  let shared: Shared = {
    tables: new Map(),
    tablesVersion: '',
    servers: [],
    listVersion: -1,
    listCursor: null,
    config: null,
  };
  let tablesAt = -Infinity;

  const takeTables = (): void => {
    const tables = leadership.tables();
    const tablesVersion = leadership.version();
    const now = clock.now();
    if (tables === null || tablesVersion === shared.tablesVersion) return;
    if (now - tablesAt < TABLES_MS) return;
    tablesAt = now;
    shared = {...shared, tables, tablesVersion};
  };

  const takeList = (): void => {
    const snapshot = list.snapshot();
    const listVersion = list.version();
    if (snapshot === null || listVersion === shared.listVersion) return;
    const {servers, cursor: listCursor} = snapshot;
    shared = {...shared, servers, listVersion, listCursor};
  };

  const takeConfig = (): void => {
    const newest = config();
    if (newest?.version === shared.config?.version) return;
    shared = {...shared, config: newest};
  };

  return {
    current() {
      takeTables();
      takeList();
      takeConfig();
      return shared;
    },
  };
}

/** What a router knows that was told nothing. */
const NOTHING_TOLD = {
  tables: new Map() as ServedTables,
  servers: null,
  config: null,
} as const;

/** What is told of all routers. */
interface About {
  readonly routers: number;
  readonly deputies: readonly Candidate[];
}

function stateFor(
  cfg: LinkServerConfig,
  told: Pick<Shared, 'tables' | 'config'> & {
    readonly servers: readonly ServerInfo[] | null;
  },
  next: Shared,
  about: About,
): StateMessage {
  const {list, room} = cfg;
  const isNews = told.config !== next.config;
  const {routers} = about;
  return {
    ...briefState(cfg, about),
    tables: diffTables(told.tables, next.tables),
    list: diffList(told.servers, next.servers),
    listCursor: list.snapshot()?.cursor ?? null,
    config: isNews && fits(next.config, room, routers) ? next.config : null,
  };
}

/** Shows that the leader is there, for one that was not told the rest yet. */
function briefState(
  {list, configCursor, configAgeMs, touchMs}: LinkServerConfig,
  about: About,
): StateMessage {
  return {
    ...{kind: 'state', tables: null, list: null, listCursor: null},
    listAgeMs: Math.round(list.ageMs()),
    configCursor: configCursor(),
    config: null,
    configAgeMs: Math.round(configAgeMs()),
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
