import type {Clock} from '@banyandrum/base/clock.js';
import type {PlaceIssuer} from '@banyandrum/dispatch/place-issuer.js';
import type {PlaceEnd} from '@banyandrum/dispatch/places.js';
import {
  Server,
  ServerCredentials,
  type ServerDuplexStream,
} from '@grpc/grpc-js';
import type {Leadership} from './leadership.js';
import {
  HEARTBEAT_MS,
  LINK_SERVICE,
  toCounts,
  type FollowerMessage,
  type LeaderMessage,
  type StateMessage,
} from './link-messages.js';
import type {ServerList} from './server-list.js';

/** What serving the other routers needs. */
export interface LinkServerConfig {
  /** `ip:port`. */
  readonly listen: string;
  readonly boot: string;
  readonly clock: Clock;
  readonly leadership: Leadership;
  readonly issuer: PlaceIssuer;
  readonly list: ServerList;
  configCursor(): number | null;
  noteReplaced(server: string): void;
  /** A router asked for a place for the key. */
  noteRequest(service: string, key: number): void;
}

/** The leader's end of the streams. */
export interface LinkServer {
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

type Stream = ServerDuplexStream<FollowerMessage, LeaderMessage>;
type TakeBack = (how: PlaceEnd, tookMs: number) => void;

interface Follower {
  readonly stream: Stream;
  /** Asks that wait and places that are in use, by number. */
  readonly asks: Map<number, TakeBack>;
  tables: string;
  /** Monotonic time at which it got tables, in ms. */
  tablesAt: number;
  list: string;
  isGreeted: boolean;
}

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

  const tellAll = (): void => {
    if (!cfg.leadership.isLeading()) {
      for (const {stream} of followers) stream.end();
      return;
    }
    for (const follower of followers) {
      if (follower.isGreeted) tell(cfg, follower);
    }
  };
  cfg.leadership.subscribe(() => {
    if (!cfg.leadership.isLeading()) tellAll();
  });
  cfg.list.subscribe(tellAll);

  const beat = (): void => {
    tellAll();
    cancelBeat = cfg.clock.after(HEARTBEAT_MS, beat);
  };
  let cancelBeat = cfg.clock.after(HEARTBEAT_MS, beat);

  const follow = (stream: Stream): void => {
    if (!cfg.leadership.isLeading()) return void stream.end();
    const follower: Follower = {
      stream,
      asks: new Map(),
      tables: '',
      tablesAt: -Infinity,
      list: '',
      isGreeted: false,
    };
    followers.add(follower);
    const leave = (): void => {
      if (!followers.delete(follower)) return;
      for (const takeBack of follower.asks.values()) takeBack('cancelled', 0);
      follower.asks.clear();
    };
    stream.on('data', message => take(cfg, follower, message));
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
    close() {
      cancelBeat();
      server.forceShutdown();
    },
  };
}

type Takers = {
  readonly [K in FollowerMessage['kind']]: (
    cfg: LinkServerConfig,
    follower: Follower,
    message: Extract<FollowerMessage, {kind: K}>,
  ) => void;
};

const TAKERS: Takers = {
  have(cfg, follower, {tables, list}) {
    Object.assign(follower, {tables, list, isGreeted: true});
    tell(cfg, follower);
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
  cfg: LinkServerConfig,
  follower: Follower,
  message: FollowerMessage,
): void {
  const taker = TAKERS[message.kind] as Takers[FollowerMessage['kind']];
  taker(cfg, follower, message as never);
}

function tell(cfg: LinkServerConfig, follower: Follower): void {
  follower.stream.write(stateFor(cfg, follower));
}

function stateFor(cfg: LinkServerConfig, follower: Follower): StateMessage {
  const {leadership, list, boot} = cfg;
  const tables = leadership.tables();
  const tablesVersion = leadership.version();
  const snapshot = list.snapshot();
  const listVersion = `${boot}-${list.version()}`;
  const now = cfg.clock.now();
  const isDue = now - follower.tablesAt >= TABLES_MS;
  const hasTables =
    !isDue || tables === null || follower.tables === tablesVersion;
  const hasList = follower.list === listVersion || snapshot === null;
  if (!hasTables)
    Object.assign(follower, {tables: tablesVersion, tablesAt: now});
  follower.list = listVersion;
  return {
    kind: 'state',
    tablesVersion,
    tables: hasTables ? null : Object.fromEntries(tables),
    listVersion,
    list: hasList ? null : snapshot.servers,
    listCursor: snapshot?.cursor ?? null,
    listAgeMs: Math.round(list.ageMs()),
    configCursor: cfg.configCursor(),
  };
}
