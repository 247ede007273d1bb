import type {Emit} from '@banyandrum/dispatch/events.js';
import type {PlaceIssuer} from '@banyandrum/dispatch/place-issuer.js';
import type {PlaceEnd} from '@banyandrum/dispatch/places.js';
import type {ServerLimits} from '@banyandrum/dispatch/server-limits.js';
import type {Suspects} from '@banyandrum/dispatch/suspects.js';
import {
  Server,
  ServerCredentials,
  type sendUnaryData,
  type ServerDuplexStream,
} from '@grpc/grpc-js';
import {createChangeCoalescer} from './gathered.js';
import {
  HEARTBEAT_MS,
  LINK_SERVICE,
  toCounts,
  type EncodedMessage,
  type FollowerMessage,
  type LeaderMessage,
  type OfferReply,
} from './link-messages.js';
import {
  createListener,
  createTeller,
  type Listener,
  type TellerConfig,
} from './link-telling.js';
import {pickRoomiest, type Candidate} from './room.js';

/** What serving the other routers needs. */
export interface LinkServerConfig extends TellerConfig {
  /** `ip:port`. */
  readonly listen: string;
  readonly emit: Emit;
  readonly issuer: PlaceIssuer;
  readonly suspects: Suspects;
  readonly limits: ServerLimits;
  /** Whom this router follows, `ip:port`; null: nobody. */
  leader(): string | null;
  noteReplaced(server: string): void;
  /** A server reported to a follower that it is leaving. */
  noteLeaving(server: string): void;
  /** Another router asks this one to lead; whether it does then. */
  onOffered(): Promise<boolean>;
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
 * A router's connection that went silent without an end is closed, in ms: the
 * places in use on it would never come back, and with them the servers' slots.
 * By the time that this takes, most requests there have come to their end.
 */
const PING_MS = 2_000;
const PING_WITHIN_MS = 1_500;

type Stream = ServerDuplexStream<
  FollowerMessage,
  LeaderMessage | EncodedMessage
>;
type TakeBack = (how: PlaceEnd, tookMs: number) => void;

interface Follower extends Listener {
  readonly stream: Stream;
  /** Asks that wait and places that are in use, by number. */
  readonly asks: Map<number, TakeBack>;
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

  const teller = createTeller(cfg);
  let askedAt = -Infinity;

  const tellAll = (): void => {
    if (cfg.leadership.isLeading()) {
      return teller.tell(followers, followers);
    }
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
      teller.tell([follower], followers);
      considerMove();
    },
  };

  cfg.leadership.subscribe(() => {
    if (!cfg.leadership.isLeading()) tellAll();
  });
  cfg.list.subscribe(tellAll);
  // A server that ends strikes all requests that it ran, by several routers.
  const gathered = createChangeCoalescer(cfg.clock, tellAll);
  cfg.suspects.subscribe(() => gathered.notifyLater());
  cfg.limits.subscribe(() => gathered.notifyLater());

  const beat = (): void => {
    teller.beat(followers);
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
      ...createListener(stream),
      ...{stream, asks: new Map(), wasAsked: false, hasBegun: false},
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
  hello({greet}, follower, {address, room, dataCentre, listDigest}) {
    follower.candidate = {address, room, dataCentre};
    follower.listDigest = listDigest;
    greet(follower);
  },
  leading({leadership}, follower, {epoch}) {
    follower.hasBegun = true;
    leadership.noteTerm(epoch);
  },
  ask(cfg, {stream, asks, candidate}, {ask, place}) {
    if (!cfg.leadership.isLeading()) {
      stream.write({kind: 'reply', ask, reply: {kind: 'unavailable'}});
      return;
    }
    if (place.key !== null) cfg.noteRequest(place.service, place.key);
    let isRefused = false;
    const dataCentre = candidate?.dataCentre ?? '';
    const takeBack = cfg.issuer.ask({...place, dataCentre}, reply => {
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
  suspects(cfg, _follower, {rows}) {
    cfg.suspects.merge(rows);
  },
  limits(cfg, _follower, {rows}) {
    cfg.limits.mergeFromFollower(rows);
  },
  leaving(cfg, _follower, {server}) {
    cfg.noteLeaving(server);
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
