import {hashCaller} from '@banyandrum/dispatch/caller-hash.js';
import type {Emit} from '@banyandrum/dispatch/events.js';
import type {SlotAllocator} from '@banyandrum/slots/slot-allocator.js';
import type {ServerLimits} from '@banyandrum/dispatch/server-limits.js';
import type {ServerPaths} from '@banyandrum/dispatch/server-paths.js';
import type {Suspects} from '@banyandrum/dispatch/suspects.js';
import {
  Server,
  ServerCredentials,
  type sendUnaryData,
  type ServerDuplexStream,
} from '@grpc/grpc-js';
import type {CarryServer} from './carry-server.js';
import {createChangeCoalescer} from './change-coalescer.js';
import {
  HEARTBEAT_MS,
  LINK_SERVICE,
  MAX_LINK_MESSAGE_BYTES,
  fromWireCounts,
  type EncodedMessage,
  type FollowerMessage,
  type LeaderMessage,
  type ListPosition,
  type OfferReply,
} from './link-messages.js';
import type {Candidate} from './host-capacity.js';
import type {ServerList} from './server-list.js';
import {
  createSubscriber,
  createStateBroadcaster,
  type Subscriber,
  type BroadcasterConfig,
} from './link-broadcaster.js';
import type {TermEndAnswer, TermEndQuestion} from './term-end.js';
import {
  pickCarriers,
  pickSuccessor,
  type CarrierCandidate,
  type Successor,
} from './leader-transfer.js';

/** What serving followers needs. */
export interface LinkServerConfig extends BroadcasterConfig {
  /** `ip:port`. */
  readonly listen: string;
  readonly emit: Emit;
  readonly allocator: SlotAllocator;
  readonly suspects: Suspects;
  readonly limits: ServerLimits;
  /** `ip:port` of the leader that this router follows; null if none. */
  leader(): string | null;
  /** How other routers reach this one. */
  readonly self: Pick<CarrierCandidate, 'address' | 'dataCentre'>;
  readonly paths: Pick<
    ServerPaths,
    'unreachableCount' | 'unreachableSince' | 'subscribe'
  >;
  readonly carryServer: Pick<CarryServer, 'handle'>;
  /** A follower reported that another instance replaced the server. */
  noteReplaced(server: string): void;
  /** A follower reported evacuations as of a position that it read. */
  noteEvacuated(
    cursor: number,
    dataCentres: readonly string[],
    follower: string,
  ): void;
  /** A follower reported that the server announced that it is leaving. */
  noteLeaving(server: string): void;
  /**
   * Another router offers leadership; resolves to whether a router leads then.
   */
  onLeadershipOffered(): Promise<boolean>;
  /** A follower requested a slot for the key. */
  noteRequest(service: string, key: number): void;
}

/** The leader's end of the streams. */
export interface LinkServer {
  /** Number of routers that follow this one. */
  followers(): number;
  /** Followers that may send attempts for this router while it leads. */
  carriers(): readonly string[];
  /** Routers that this one designated last to lead next, the best first. */
  deputies(): readonly Candidate[];
  close(): void;
}

/**
 * Interval and timeout of keepalive pings, in ms, which close connections that
 * failed without being closed. Otherwise the slots allocated over them would
 * never be released. Most requests that use these slots have completed by then.
 */
const KEEPALIVE_MS = 2_000;
const KEEPALIVE_TIMEOUT_MS = 1_500;

type Stream = ServerDuplexStream<
  FollowerMessage,
  LeaderMessage | EncodedMessage
>;
type EndSlot = ReturnType<SlotAllocator['ask']>;

interface Follower extends Subscriber {
  readonly stream: Stream;
  /** Releases pending requests and allocated slots, by ask number. */
  readonly pending: Map<number, EndSlot>;
  /** Carriers that it was told, separated by blanks. */
  toldCarriers: string;
  /** Monotonic time of the last answer to one of its requests, in ms. */
  answeredAt: number;
  /** Whether it was asked to lead. */
  wasOfferedLeadership: boolean;
  /** Whether it reported that it leads now. */
  hasStartedTerm: boolean;
}

/**
 * Minimum interval between offers of leadership, in ms. The router that was
 * asked has this long to start its term before another is asked, which covers
 * two joins on its first contact with a slow platform.
 */
const OFFER_INTERVAL_MS = 3_000;

/**
 * Serves followers while this router leads: allocates slots and sends the state
 * by which they route. The streams end when this router no longer leads.
 *
 * @example
 * ```ts
 * const server = await serveLinks(cfg);
 * ```
 */
export async function serveLinks(cfg: LinkServerConfig): Promise<LinkServer> {
  const followers = new Set<Follower>();
  const server = new Server({
    'grpc.keepalive_time_ms': KEEPALIVE_MS,
    'grpc.keepalive_timeout_ms': KEEPALIVE_TIMEOUT_MS,
    'grpc.max_receive_message_length': MAX_LINK_MESSAGE_BYTES,
    // Nobody reads these counts, which are taken for each message.
    'grpc.enable_channelz': 0,
  });

  const broadcaster = createStateBroadcaster(cfg);
  let offeredAt = -Infinity;

  const sendToAll = (): void => {
    if (cfg.leadership.isLeading()) {
      return broadcaster.send(followers, followers);
    }
    const successor = [...followers].find(({hasStartedTerm}) => hasStartedTerm);
    const leader = successor?.candidate?.address ?? cfg.leader();
    for (const {stream} of followers) {
      stream.write({kind: 'elsewhere', leader});
      stream.end();
    }
  };

  const considerTransfer = (): void => {
    const now = cfg.clock.now();
    if (!cfg.leadership.isLeading() || now - offeredAt < OFFER_INTERVAL_MS)
      return;
    const unreachable = cfg.paths.unreachableCount();
    const unreachableSince = cfg.paths.unreachableSince();
    const position = {room: cfg.room, unreachable, unreachableSince, now};
    const next = pickSuccessor(position, successorsOf(followers));
    if (next === null) return;
    offeredAt = now;
    next.follower.wasOfferedLeadership = true;
    cfg.emit('leading-offered', {to: next.address, unreachable});
    next.follower.stream.write({kind: 'lead'});
  };

  /** Followers that may carry for this router; null until asked for again. */
  let ownCarriers: readonly string[] | null = null;
  const forgetOwnCarriers = (): void => {
    ownCarriers = null;
  };
  cfg.paths.subscribe(forgetOwnCarriers);

  const ownPosition = (): CarrierCandidate => ({
    ...cfg.self,
    unreachable: cfg.paths.unreachableCount(),
  });

  /** Tells those of `some` that can't reach servers which routers can. */
  const nameCarriers = (some: Iterable<Follower>): void => {
    if (!cfg.leadership.isLeading()) return;
    let able: readonly CarrierCandidate[] | null = null;
    for (const follower of some) {
      if (follower.unreachable === 0) continue;
      const [router] = toCarrierCandidate(follower);
      if (router === undefined) continue;
      able ??= [...followers].flatMap(toCarrierCandidate);
      const named = pickCarriers(router, able);
      // The leader's own processor is needed for the slots of all.
      const addresses =
        named.length > 0 ? named : pickCarriers(router, [ownPosition()]);
      const told = addresses.join(' ');
      if (told === follower.toldCarriers) continue;
      follower.toldCarriers = told;
      cfg.emit('carriers-named', {
        ...{router: router.address, unreachable: router.unreachable},
        carriers: told,
      });
      follower.stream.write({kind: 'carriers', addresses});
    }
  };

  const ctx: HandlerContext = {
    ...cfg,
    onUnreachable(follower) {
      forgetOwnCarriers();
      nameCarriers([follower]);
    },
    onHello(follower) {
      forgetOwnCarriers();
      broadcaster.send([follower], followers);
      considerTransfer();
    },
  };

  cfg.leadership.subscribe(() => {
    if (!cfg.leadership.isLeading()) sendToAll();
  });
  cfg.list.subscribe(sendToAll);
  // A crash adds strikes to all requests at the server, from several routers:
  // their notifications are coalesced.
  const notifier = createChangeCoalescer(cfg.clock, sendToAll);
  cfg.suspects.subscribe(() => notifier.notifyLater());
  cfg.limits.subscribe(() => notifier.notifyLater());

  const sendHeartbeat = (): void => {
    broadcaster.onHeartbeat(followers);
    sendToAll();
    nameCarriers(followers);
    considerTransfer();
    cancelHeartbeat = cfg.clock.after(HEARTBEAT_MS, sendHeartbeat);
  };
  let cancelHeartbeat = cfg.clock.after(HEARTBEAT_MS, sendHeartbeat);

  const follow = (stream: Stream): void => {
    if (!cfg.leadership.isLeading()) {
      const list = listPosition(cfg.list);
      const leader = cfg.leader();
      stream.write({kind: 'elsewhere', leader, ...(list && {list})});
      return void stream.end();
    }
    const follower: Follower = {
      ...createSubscriber(stream),
      ...{
        stream,
        pending: new Map(),
        toldCarriers: '',
        answeredAt: -Infinity,
        wasOfferedLeadership: false,
        hasStartedTerm: false,
      },
    };
    followers.add(follower);
    const leave = (): void => {
      if (!followers.delete(follower)) return;
      forgetOwnCarriers();
      for (const endSlot of follower.pending.values()) endSlot('cancelled', 0);
      follower.pending.clear();
      // A router that starts to lead stops following.
      if (follower.wasOfferedLeadership) cfg.leadership.checkTerm();
    };
    stream.on('data', message => handleMessage(ctx, follower, message));
    stream.on('end', () => {
      leave();
      stream.end();
    });
    // A stream that fails also ends; its router reconnects by itself.
    stream.on('error', leave);
    stream.on('cancelled', leave);
  };

  const lead = (_call: unknown, reply: sendUnaryData<OfferReply>): void => {
    void cfg.onLeadershipOffered().then(leads => reply(null, {leads}));
  };

  const termEnd = (
    {request}: {readonly request: TermEndQuestion},
    reply: sendUnaryData<TermEndAnswer>,
  ): void => reply(null, cfg.leadership.answerTermEnd(request));

  server.addService(LINK_SERVICE, {
    follow,
    lead,
    termEnd,
    carry: cfg.carryServer.handle,
  });
  await new Promise<void>((resolve, reject) => {
    const credentials = ServerCredentials.createInsecure();
    server.bindAsync(cfg.listen, credentials, err =>
      err === null ? resolve() : reject(err),
    );
  });
  return {
    followers: () => followers.size,
    deputies: broadcaster.deputies,
    carriers() {
      if (ownCarriers !== null) return ownCarriers;
      const unreachable = Math.max(1, cfg.paths.unreachableCount());
      const able = [...followers].flatMap(toCarrierCandidate);
      ownCarriers = pickCarriers({...cfg.self, unreachable}, able);
      return ownCarriers;
    },
    close() {
      cancelHeartbeat();
      server.forceShutdown();
    },
  };
}

function* successorsOf(
  followers: Iterable<Follower>,
): Iterable<Successor & {readonly follower: Follower}> {
  for (const follower of followers) {
    const {candidate, wasOfferedLeadership, unreachable, answeredAt} = follower;
    if (candidate !== null && !wasOfferedLeadership)
      yield {...candidate, unreachable, answeredAt, follower};
  }
}

/** Empty until the follower has identified itself. */
function toCarrierCandidate({
  candidate,
  unreachable,
}: Follower): readonly CarrierCandidate[] {
  return candidate === null ? [] : [{...candidate, unreachable}];
}

/** What the message handlers use. */
interface HandlerContext extends LinkServerConfig {
  /** A follower identified itself. */
  onHello(follower: Follower): void;
  /** A follower reported how many servers it can't reach. */
  onUnreachable(follower: Follower): void;
}

type MessageHandlers = {
  readonly [K in FollowerMessage['kind']]: (
    ctx: HandlerContext,
    follower: Follower,
    message: Extract<FollowerMessage, {kind: K}>,
  ) => void;
};

const MESSAGE_HANDLERS: MessageHandlers = {
  hello({onHello}, follower, hello) {
    const {address, room, dataCentre} = hello;
    follower.candidate = {address, room, dataCentre};
    follower.listDigest = hello.listDigest;
    follower.held = hello.held ?? null;
    follower.unreachable = hello.unreachable ?? 0;
    onHello(follower);
  },
  leading({leadership}, follower, {epoch}) {
    follower.hasStartedTerm = true;
    leadership.observeTerm(epoch);
  },
  ask(cfg, {stream, pending, candidate}, {ask, place}) {
    if (!cfg.leadership.isLeading()) {
      stream.write({kind: 'reply', ask, reply: {kind: 'unavailable'}});
      return;
    }
    if (place.key !== null) cfg.noteRequest(place.service, place.key);
    const readAt = cfg.clock.now();
    let isRefused = false;
    const dataCentre = candidate?.dataCentre ?? '';
    // Routers that don't tell callers apart have one account each.
    const caller = place.caller ?? hashCaller(candidate?.address ?? '');
    const request = {...place, dataCentre, caller};
    const endSlot = cfg.allocator.ask(request, reply => {
      isRefused = reply.kind !== 'granted';
      if (isRefused) pending.delete(ask);
      const waitedMs = Math.round(cfg.clock.now() - readAt);
      const told = reply.kind === 'unavailable' ? reply : {...reply, waitedMs};
      stream.write({kind: 'reply', ask, reply: told});
    });
    if (!isRefused) pending.set(ask, endSlot);
  },
  end({clock}, follower, {ask, how, tookMs, slowdown}) {
    const {pending} = follower;
    if (how === 'answered') follower.answeredAt = clock.now();
    pending.get(ask)?.(how, tookMs, slowdown);
    pending.delete(ask);
  },
  counts(cfg, follower, {counts, unreachable}) {
    cfg.leadership.addRequestCounts(fromWireCounts(counts));
    if (unreachable === undefined) return;
    follower.unreachable = unreachable;
    cfg.onUnreachable(follower);
  },
  suspects(cfg, _follower, {rows}) {
    cfg.suspects.merge(rows);
  },
  limits(cfg, _follower, {rows}) {
    cfg.limits.mergeFromFollower(rows);
  },
  evacuated(cfg, {candidate}, {cursor, dataCentres}) {
    cfg.noteEvacuated(cursor, dataCentres, candidate?.address ?? '');
  },
  leaving(cfg, _follower, {server}) {
    cfg.noteLeaving(server);
  },
  replaced(cfg, _follower, {server}) {
    cfg.noteReplaced(server);
  },
};

function handleMessage(
  ctx: HandlerContext,
  follower: Follower,
  message: FollowerMessage,
): void {
  const handler = MESSAGE_HANDLERS[
    message.kind
  ] as MessageHandlers[FollowerMessage['kind']];
  handler(ctx, follower, message as never);
}

/** Tells a router without a leader whether it must read the list itself. */
function listPosition(list: ServerList): ListPosition | null {
  const cursor = list.cursor();
  return cursor === null ? null : {cursor, ageMs: Math.round(list.ageMs())};
}
