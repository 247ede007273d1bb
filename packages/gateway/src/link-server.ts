import type {Clock} from '@banyandrum/base/clock.js';
import type {Emit} from '@banyandrum/dispatch/events.js';
import type {PlaceIssuer} from '@banyandrum/dispatch/place-issuer.js';
import type {PlaceEnd} from '@banyandrum/dispatch/places.js';
import {
  Server,
  ServerCredentials,
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
  type StateMessage,
} from './link-messages.js';
import type {WireConfig} from './link-config.js';
import {diffList, diffTables} from './link-state.js';
import {pickRoomiest, type Candidate, type Room} from './room.js';
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
  /** What it was told last; null at first. */
  told: Shared | null;
  /** Who it is; null until it said so. */
  candidate: Candidate | null;
  /** It was asked to lead, and has not begun. */
  wasAsked: boolean;
  /** It leads now, by its own word. */
  hasBegun: boolean;
}

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

  const tell = (some: Iterable<Follower>): void => {
    const next = shared.current();
    const encoded = new Map<Shared | null, EncodedMessage>();
    for (const follower of some) {
      const {told, stream} = follower;
      const message = encoded.get(told) ?? {
        bytes: encode(stateFor(cfg, told, next, followers.size + 1)),
      };
      encoded.set(told, message);
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
  const ctx: TakeContext = {...cfg, considerMove};

  cfg.leadership.subscribe(() => {
    if (!cfg.leadership.isLeading()) tellAll();
  });
  cfg.list.subscribe(tellAll);

  const beat = (): void => {
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
      ...{told: null, candidate: null, wasAsked: false, hasBegun: false},
    };
    followers.add(follower);
    tell([follower]);
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

  server.addService(LINK_SERVICE, {follow});
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
  /** One with more room may have come. */
  considerMove(): void;
}

type Takers = {
  readonly [K in FollowerMessage['kind']]: (
    ctx: TakeContext,
    follower: Follower,
    message: Extract<FollowerMessage, {kind: K}>,
  ) => void;
};

const TAKERS: Takers = {
  hello({considerMove}, follower, {address, room}) {
    follower.candidate = {address, room};
    considerMove();
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
    shared = {...shared, servers: snapshot.servers, listVersion};
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

const NOTHING_TOLD: ServedTables = new Map();

function stateFor(
  {list, configCursor, configAgeMs, touchMs, room}: LinkServerConfig,
  told: Shared | null,
  next: Shared,
  routers: number,
): StateMessage {
  const isNews = told?.config !== next.config;
  return {
    kind: 'state',
    tables: diffTables(told?.tables ?? NOTHING_TOLD, next.tables),
    list: diffList(told?.servers ?? [], next.servers),
    listCursor: list.snapshot()?.cursor ?? null,
    listAgeMs: Math.round(list.ageMs()),
    configCursor: configCursor(),
    config: isNews && fits(next.config, room, routers) ? next.config : null,
    configAgeMs: Math.round(configAgeMs()),
    routers,
    touchMs: Math.round(touchMs()),
  };
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
