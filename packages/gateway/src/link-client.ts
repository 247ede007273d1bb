import {sleep, type Clock} from '@banyandrum/base/clock.js';
import type {Emit} from '@banyandrum/dispatch/events.js';
import type {Place, Places} from '@banyandrum/dispatch/places.js';
import type {LimitRow} from '@banyandrum/dispatch/server-limits.js';
import type {Suspect} from '@banyandrum/dispatch/suspect.js';
import {credentials, makeGenericClientConstructor} from '@grpc/grpc-js';
import {
  LINK_SERVICE,
  LEADER_TIMEOUT_MS,
  toWireCounts,
  type OfferReply,
} from './link-messages.js';
import {
  createSession,
  sendEnd,
  handleMessage,
  toPlace,
  leavingUnknownToLeader,
  suspectsUnknownToLeader,
  type FollowerState,
  type LinkStream,
  type Session,
} from './link-session.js';
import {digestServers} from './link-state.js';
import {repeat} from './repeat.js';
import type {Candidate} from './host-capacity.js';

/** What following the leader needs. */
export interface LinkClientConfig extends FollowerState {
  readonly clock: Clock;
  readonly emit: Emit;
  /** `ip:port` of the router that was chosen; null: unknown, or this one. */
  chosenAddress(): string | null;
  isLeading(): boolean;
  /** The term in which this router leads; null where it doesn't. */
  epoch(): number | null;
  /** Who this router is, for the leader. */
  readonly self: Candidate;
  /** The leader asks this router to lead in its place. */
  onLeadershipOffered(): void;
  /** The leader is heard no more. */
  onLeaderLost(): void;
}

/** A router's end of its stream to the leader. */
export interface LinkClient extends Places {
  /** Time since the leader was last heard, in ms. */
  ageMs(): number;
  /** Whom this router hears as the leader, `ip:port`; null: nobody. */
  leader(): string | null;
  /** Since when the leader that is heard had no answer of the platform, ms. */
  leaderContactAgeMs(): number | null;
  /** Whether the leader passes on configurations, none of them missing. */
  relaysConfig(): boolean;
  /** Follows whoever leads at the address; false where nobody does. */
  followAt(address: string): Promise<boolean>;
  /** Who should lead next, as the last leader told. */
  deputies(): readonly Candidate[];
  /** Whether the leader works, and names others than this one. */
  hasOtherDeputies(): boolean;
  /** Asks the router at the address to lead; whether it does. */
  offerLeadership(address: string): Promise<boolean>;
  reportReplaced(server: string): void;
  /** Tells the leader that a server reported that it is leaving. */
  reportLeaving(server: string): void;
  /** Whether any leader told this router its whole state. */
  isSynced(): boolean;
  /** Tells the leader of requests under which servers ended. */
  reportSuspects(rows: readonly Suspect[]): void;
  /** Tells the leader of limits that servers reported to this router. */
  reportLimits(rows: readonly LimitRow[]): void;
  stop(): void;
}

/** Somebody waits to hear whether a router leads. */
interface FollowRequest {
  readonly address: string;
  settle(isLeader: boolean): void;
}

/** An address where nobody led isn't tried again for this long, in ms. */
const FAILED_ADDRESS_BACKOFF_MS = 500;
/** Routers that are asked one after the other for whom they follow. */
const MAX_REDIRECTS = 4;
/** Pause before the leader is tried again, in ms. */
const RETRY_MS = 200;
/** The last message of a stream has this time to arrive, in ms. */
const FLUSH_MS = 300;
/**
 * The stream is looked at this often, in ms; counts go out as often. A leader's
 * silence is noticed that much later.
 */
const STREAM_CHECK_MS = 100;
/** A leader is looked for this often, in ms. */
const LEADER_SEARCH_MS = 50;

/** One that is asked to lead answers within this time, in ms, or not at all. */
const OFFER_TIMEOUT_MS = 600;

/**
 * A leader that the platform answered within this time works, in ms: two of its
 * joins, and what the heartbeat lags.
 */
const WORKING_CONTACT_AGE_MS = 1_000;

const LinkStub = makeGenericClientConstructor(LINK_SERVICE, 'Link');

function createStub(address: string): InstanceType<typeof LinkStub> {
  return new LinkStub(address, credentials.createInsecure(), {
    'grpc.use_local_subchannel_pool': 1,
    'grpc.enable_http_proxy': 0,
  });
}

/**
 * Follows the leader until stopped, over a connection of its own each time:
 * what lost track of the last one would swallow a new stream on it as well.
 *
 * @example
 * ```ts
 * const link = followLeader(cfg);
 * const place = await link.acquire(ask, signal);
 * ```
 */
export function followLeader(cfg: LinkClientConfig): LinkClient {
  const {clock} = cfg;
  let session: Session | null = null;
  let isStopped = false;
  let isSynced = false;
  let lastAsk = 0;
  let deputies: readonly Candidate[] = [];
  let heardAt = -Infinity;
  /** Whom the last router that was asked follows. */
  let redirect: string | null = null;
  /** A leader is looked for at this address. */
  let followRequest: FollowRequest | null = null;
  let lastTryAt = -Infinity;
  /** Addresses tried by guess since a leader was heard. */
  let guesses = 0;
  /** Where nobody led when it was tried last. */
  let failedAddress = '';
  let failedAt = -Infinity;

  const liveSession = (): Session | null =>
    session !== null && session.isLeader && isAlive(session) ? session : null;

  const isAlive = ({isOpen, heardAt: at}: Session): boolean =>
    isOpen && clock.now() - at < LEADER_TIMEOUT_MS;

  const follow = async (leader: string): Promise<void> => {
    const stub = createStub(leader);
    const stream = stub['follow']!() as LinkStream;
    const own = createSession(stream, leader, clock.now());
    session = own;
    const known = cfg.list.snapshot();
    own.servers = known?.servers ?? [];
    const listDigest = known && digestServers(known.servers);
    const {address, room, dataCentre} = cfg.self;
    stream.write({kind: 'hello', address, room, dataCentre, listDigest});
    const close = (): void => {
      own.isOpen = false;
    };
    stream.on('data', message => {
      own.heardAt = clock.now();
      if (message.kind === 'lead') return cfg.onLeadershipOffered();
      const {isLeader: wasLeader, isSynced: wasTold} = own;
      handleMessage(cfg, own, message);
      // What this router learnt of another leader, or of none.
      if (own.isSynced && !wasTold) {
        isSynced = true;
        sendSuspects(own, suspectsUnknownToLeader(own, cfg.suspects.rows()));
        sendLimits(own, cfg.limits.ownRows());
        for (const server of leavingUnknownToLeader(own, cfg.list)) {
          stream.write({kind: 'leaving', server});
        }
      }
      if (!own.isLeader) return;
      if (!wasLeader) cfg.emit('leader-followed', {leader});
      heardAt = own.heardAt;
      guesses = 0;
      deputies = own.deputies;
      settleFollowRequest(leader, true);
    });
    stream.on('end', close);
    stream.on('error', close);
    while (!isStopped && isAlive(own) && !cfg.isLeading()) {
      await sleep(clock, STREAM_CHECK_MS);
      sendCounts(own);
    }
    endSession(own);
    // What was written last is still on its way.
    clock.after(FLUSH_MS, () => stub.close());
    if (!own.isLeader) {
      failedAddress = leader;
      failedAt = clock.now();
    }
    settleFollowRequest(leader, false);
    redirect = own.redirect;
    if (own.isLeader) cfg.onLeaderLost();
  };

  /** Tells those who wait to hear of a leader, there or anywhere else. */
  const settleFollowRequest = (address: string, isLeader: boolean): void => {
    if (
      followRequest === null ||
      (followRequest.address !== address && !isLeader)
    )
      return;
    followRequest.settle(isLeader);
    followRequest = null;
  };

  const endSession = (own: Session): void => {
    own.isOpen = false;
    if (session === own) session = null;
    const silentMs = Math.round(clock.now() - own.heardAt);
    const {leader, isLeader, redirect: elsewhere} = own;
    cfg.emit('leader-left', {leader, isLeader, elsewhere, silentMs});
    closeStream(own);
    for (const settle of own.pending.values()) settle({kind: 'unavailable'});
    own.pending.clear();
  };

  /** One that leads now tells so: whoever led need not ask the platform. */
  const closeStream = ({stream, isLeader}: Session): void => {
    const epoch = cfg.epoch();
    if (epoch === null || !isLeader) return stream.cancel();
    stream.write({kind: 'leading', epoch});
    stream.end();
    clock.after(FLUSH_MS, () => stream.cancel());
  };

  const sendSuspects = (
    {stream, isOpen}: Session,
    rows: readonly Suspect[],
  ): void => {
    if (isOpen && rows.length > 0) stream.write({kind: 'suspects', rows});
  };

  const sendLimits = (
    {stream, isOpen}: Session,
    rows: readonly LimitRow[],
  ): void => {
    if (isOpen && rows.length > 0) stream.write({kind: 'limits', rows});
  };

  const sendCounts = ({stream, isOpen}: Session): void => {
    const counts = cfg.owners.drainCounts();
    if (!isOpen || counts.size === 0) return;
    stream.write({kind: 'counts', counts: toWireCounts(counts)});
  };

  /** Whoever was chosen last, as far as is known, or should lead next. */
  const guessAddress = (): string | null => {
    const named = deputies.map(({address}) => address);
    const known = [cfg.chosenAddress(), ...named].filter(
      address => address !== null && address !== cfg.self.address,
    );
    return known[guesses++ % known.length] ?? null;
  };

  const goesOn = (): boolean => !isStopped;
  const {emit} = cfg;
  repeat(
    {clock, emit, name: 'link', ms: LEADER_SEARCH_MS, goesOn},
    async () => {
      if (followRequest === null && clock.now() - lastTryAt < RETRY_MS) return;
      for (let hops = 0; hops < MAX_REDIRECTS && !cfg.isLeading(); hops++) {
        const leader = followRequest?.address ?? redirect ?? guessAddress();
        redirect = null;
        if (leader === null) return;
        await follow(leader);
        lastTryAt = clock.now();
        if (redirect === null && followRequest === null) return;
      }
    },
  );

  return {
    acquire(ask, signal) {
      const own = liveSession();
      if (own === null) return Promise.resolve({kind: 'unavailable'});
      const number = ++lastAsk;
      return new Promise<Place>(resolve => {
        const take = (how: 'cancelled'): void => {
          if (!own.pending.delete(number)) return;
          sendEnd(own, number, how, 0);
          resolve({kind: 'unavailable'});
        };
        const cancel = (): void => take('cancelled');
        signal.addEventListener('abort', cancel);
        own.pending.set(number, reply => {
          signal.removeEventListener('abort', cancel);
          resolve(toPlace(own, number, reply));
        });
        own.stream.write({kind: 'ask', ask: number, place: ask});
      });
    },
    ageMs: () => clock.now() - heardAt,
    leader: () => liveSession()?.leader ?? null,
    leaderContactAgeMs: () => liveSession()?.leaderContactAgeMs ?? null,
    relaysConfig: () => liveSession()?.relaysConfig ?? false,
    followAt(address) {
      followRequest?.settle(false);
      const isVain =
        address === failedAddress &&
        clock.now() - failedAt < FAILED_ADDRESS_BACKOFF_MS;
      if (isVain) return Promise.resolve(false);
      return new Promise(settle => {
        followRequest = {address, settle};
      });
    },
    deputies: () => deputies,
    hasOtherDeputies() {
      const touchMs = liveSession()?.leaderContactAgeMs ?? Infinity;
      if (touchMs > WORKING_CONTACT_AGE_MS || deputies.length === 0)
        return false;
      return !deputies.some(({address}) => address === cfg.self.address);
    },
    offerLeadership(address) {
      const stub = createStub(address);
      return new Promise(resolve => {
        const take = (err: Error | null, reply?: OfferReply): void => {
          cancelTimer();
          stub.close();
          resolve(err === null && reply!.leads);
        };
        const call = stub['lead']!({from: cfg.self.address}, take);
        // The library counts deadlines by the time of day, which may jump.
        const cancelTimer = clock.after(OFFER_TIMEOUT_MS, () => call.cancel());
      });
    },
    reportReplaced(server) {
      if (session?.isOpen) session.stream.write({kind: 'replaced', server});
    },
    reportLeaving(server) {
      if (session?.isOpen) session.stream.write({kind: 'leaving', server});
    },
    isSynced: () => isSynced,
    reportSuspects(rows) {
      if (session !== null) sendSuspects(session, rows);
    },
    reportLimits(rows) {
      if (session !== null) sendLimits(session, rows);
    },
    stop() {
      isStopped = true;
    },
  };
}
