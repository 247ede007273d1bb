import {connectivityState} from '@grpc/grpc-js';
import type {Clock} from '@banyandrum/base/clock.js';
import type {Emit} from '@banyandrum/dispatch/events.js';
import type {SlotResult, SlotProvider} from '@banyandrum/dispatch/slots.js';
import type {LimitRow} from '@banyandrum/dispatch/server-limits.js';
import type {Suspect} from '@banyandrum/dispatch/suspect.js';
import {
  FIRST_MESSAGE_TIMEOUT_MS,
  LEADER_TIMEOUT_MS,
  toWireCounts,
  type OfferReply,
} from './link-messages.js';
import {
  createSession,
  heldBy,
  sendEnd,
  handleMessage,
  toSlotResult,
  leavingUnknownToLeader,
  suspectsUnknownToLeader,
  type FollowerState,
  type Session,
} from './link-session.js';
import {createStub, type LinkStub} from './link-stub.js';
import {digestHeld, type HeldState} from './held-state.js';
import {digestServers} from './link-state.js';
import {repeat} from './repeat.js';
import type {Candidate} from './host-capacity.js';

/** What following the leader needs. */
export interface LinkClientConfig extends FollowerState {
  readonly clock: Clock;
  readonly emit: Emit;
  /** `ip:port` of the router chosen to lead; null if unknown or this one. */
  chosenAddress(): string | null;
  isLeading(): boolean;
  /** The epoch of this router's own term; null while it doesn't lead. */
  termEpoch(): number | null;
  /** How this router identifies itself to the leader. */
  readonly self: Candidate;
  /** Servers that this router can't reach although others can. */
  unreachableCount(): number;
  /** Called when the leader asks this router to lead in its place. */
  onLeadershipOffered(): void;
  /**
   * Called when the stream to the leader at the address ended or timed out, and
   * it named no other leader.
   */
  onLeaderLost(address: string): void;
  /** Whether no leader works at the address any more. */
  isGone(address: string): boolean;
  /**
   * Routers that this one designated to lead next, if it has led since it last
   * followed a leader. It may be cut off from the platform, which knows who
   * leads now.
   */
  ownDeputies(): readonly Candidate[];
  /** A number from 0 to 1 that spreads retries; `Math.random` if absent. */
  random?(): number;
}

/** The follower's end of the stream to the leader. */
export interface LinkClient extends SlotProvider {
  /** Time since the last message from a leader, in ms. */
  leaderAgeMs(): number;
  /**
   * Time since a router that doesn't lead confirmed this router's list of
   * servers, in ms.
   */
  neighbourAgeMs(): number;
  /** `ip:port` of the leader that this router follows; null if none. */
  leader(): string | null;
  /**
   * Time since the followed leader last reached the platform, in ms; null while
   * no leader is followed.
   */
  leaderContactAgeMs(): number | null;
  /**
   * Whether the leader relays configurations, and this router has the newest.
   */
  relaysConfig(): boolean;
  /** Follows the leader at the address; false if no router leads there. */
  followAt(address: string): Promise<boolean>;
  /** Routers that the last leader designated to lead next, the best first. */
  deputies(): readonly Candidate[];
  /** Whether this router is one of them. */
  isDeputy(): boolean;
  /** Whether the leader works and all its deputies are other routers. */
  hasOtherDeputies(): boolean;
  /** Asks the router at the address to lead; returns whether it does. */
  offerLeadership(address: string): Promise<boolean>;
  /** Addresses of routers that may send attempts for this one. */
  carriers(): readonly string[];
  /** Tells the leader at once how many servers this router can't reach. */
  reportUnreachable(): void;
  /** Reports that another instance replaced the server. */
  reportReplaced(server: string): void;
  /** Reports that a server announced that it is leaving. */
  reportLeaving(server: string): void;
  /**
   * Time since another router told this one that it follows no leader either,
   * in ms.
   */
  leaderlessNeighbourAgeMs(): number;
  /** Whether any leader has sent this router its full state. */
  isSynced(): boolean;
  /** Reports requests during which servers crashed. */
  reportSuspects(rows: readonly Suspect[]): void;
  /** Reports request limits that servers sent to this router. */
  reportLimits(rows: readonly LimitRow[]): void;
  stop(): void;
}

/** A pending `followAt`. */
interface FollowRequest {
  readonly address: string;
  settle(isLeader: boolean): void;
}

/** An address where no router led isn't tried again for this long, in ms. */
const FAILED_ADDRESS_BACKOFF_MS = 500;
/** Limit of connections made in a row, each redirected by the one before. */
const MAX_REDIRECTS = 4;
/**
 * Delay before the next attempt to find the leader, in ms. Routers that left a
 * late leader together would otherwise return together.
 */
const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 300;
/** Time to deliver the last message of a stream before it closes, in ms. */
const FLUSH_MS = 300;
/**
 * Interval at which the stream is checked and request counts are sent, in ms. A
 * timeout of the leader is detected up to this much later.
 */
const STREAM_CHECK_MS = 100;
/** Interval at which a router without a leader looks for one, in ms. */
const LEADER_SEARCH_MS = 50;

/** Timeout of an offer of leadership, in ms. */
const OFFER_TIMEOUT_MS = 600;

/**
 * A leader that reached the platform within this time counts as working, in ms:
 * covers two renewals of its group membership and the delay of a heartbeat.
 */
const WORKING_CONTACT_AGE_MS = 1_000;

/**
 * Follows the leader until stopped. Each stream uses its own connection: if a
 * network device dropped the state of the last connection, a new stream on it
 * would be lost as well.
 *
 * @example
 * ```ts
 * const link = followLeader(cfg);
 * const slot = await link.acquire(request, signal);
 * ```
 */
export function followLeader(cfg: LinkClientConfig): LinkClient {
  const {clock, random = Math.random} = cfg;
  const nextRetryMs = (): number =>
    MIN_RETRY_MS + random() * (MAX_RETRY_MS - MIN_RETRY_MS);
  let session: Session | null = null;
  let isStopped = false;
  let isSynced = false;
  let lastAsk = 0;
  /** What the last leader sent; null if none sent its full state. */
  let held: HeldState | null = null;
  let deputies: readonly Candidate[] = [];
  /** Routers that a leader named last to carry attempts. */
  let carriers: readonly string[] = [];
  let heardAt = -Infinity;
  let neighbourListAt = -Infinity;
  /** When another router told that it follows no leader, in ms. */
  let leaderlessNeighbourAt = -Infinity;
  /** The leader that the last contacted router named. */
  let redirect: string | null = null;
  /** The pending `followAt`, whose address is tried next. */
  let followRequest: FollowRequest | null = null;
  /** When a leader is looked for again, in ms. */
  let retryAt = -Infinity;
  /** The last leader whose stream ended or timed out. */
  let lostLeader = '';
  /** Guessed addresses tried since a leader was last followed. */
  let guesses = 0;
  /** The last address where no router led. */
  let failedAddress = '';
  let failedAt = -Infinity;

  const isDeputy = (): boolean =>
    deputies.some(({address}) => address === cfg.self.address);

  const liveSession = (): Session | null =>
    session !== null && session.isLeader && isAlive(session) ? session : null;

  const isAlive = ({isOpen, heardAt: at, timeoutMs}: Session): boolean =>
    isOpen && clock.now() - at < timeoutMs;

  const follow = async (leader: string): Promise<void> => {
    const stub = createStub(leader);
    const stream = stub.follow();
    const current = createSession(stream, leader, clock.now());
    session = current;
    const known = cfg.list.snapshot();
    current.servers = known?.servers ?? [];
    const listDigest = known && digestServers(known.servers);
    const {address, room, dataCentre} = cfg.self;
    const unreachable = cfg.unreachableCount();
    current.reportedUnreachable = unreachable;
    stream.write({
      ...{kind: 'hello', address, room, dataCentre, listDigest},
      ...(held !== null && {held: digestHeld(held)}),
      ...(unreachable > 0 && {unreachable}),
    });
    if (held !== null) current.held = held;
    const markClosed = (): void => {
      current.isOpen = false;
    };
    let endWait = (): void => undefined;
    const waitForCheck = (): Promise<void> =>
      new Promise(resolve => {
        endWait = resolve;
        clock.after(STREAM_CHECK_MS, resolve);
      });
    stream.on('data', message => {
      current.heardAt = clock.now();
      current.hasAnswered = true;
      current.timeoutMs = LEADER_TIMEOUT_MS;
      if (message.kind === 'lead') return cfg.onLeadershipOffered();
      if (message.kind === 'carriers') {
        carriers = message.addresses;
        return;
      }
      const {isLeader: wasLeader, isSynced: wasSynced} = current;
      handleMessage(cfg, current, message);
      if (message.kind === 'elsewhere' && message.leader === null)
        leaderlessNeighbourAt = clock.now();
      if (message.kind === 'elsewhere' && !wasLeader && mayGoOn(current)) {
        markClosed();
        endWait();
      }
      neighbourListAt = Math.max(neighbourListAt, current.neighbourListAt);
      // Reports what this router learnt from another leader or without one.
      if (current.isSynced && !wasSynced) {
        isSynced = true;
        sendSuspects(
          current,
          suspectsUnknownToLeader(current, cfg.suspects.rows()),
        );
        sendLimits(current, cfg.limits.ownRows());
        for (const server of leavingUnknownToLeader(current, cfg.list)) {
          stream.write({kind: 'leaving', server});
        }
      }
      if (!current.isLeader) return;
      if (!wasLeader) cfg.emit('leader-followed', {leader});
      heardAt = current.heardAt;
      guesses = 0;
      deputies = current.deputies;
      settleFollowRequest(leader, true);
    });
    stream.on('end', markClosed);
    stream.on('error', markClosed);
    while (!isStopped && isAlive(current) && !cfg.isLeading()) {
      await waitForCheck();
      awaitFirstMessage(current, stub);
      sendCounts(current);
    }
    endSession(current);
    // The last messages may not have been sent yet.
    clock.after(FLUSH_MS, () => stub.close());
    if (!current.isLeader) {
      failedAddress = leader;
      failedAt = clock.now();
    }
    settleFollowRequest(leader, false);
    redirect = current.redirect;
    if (!current.isLeader || redirect !== null) return;
    lostLeader = leader;
    cfg.onLeaderLost(leader);
  };

  /**
   * Whether the answer of a router that doesn't lead is acted on at once. One
   * that only looks for a leader asks again at its usual pace.
   */
  const mayGoOn = ({leader, redirect: next}: Session): boolean =>
    next !== null || followRequest?.address === leader;

  /**
   * Waits longer for the first message of a process that has accepted the
   * connection: it is only late. A suspended one accepts none.
   */
  const awaitFirstMessage = (current: Session, stub: LinkStub): void => {
    if (current.hasAnswered) return;
    const state = stub.getChannel().getConnectivityState(false);
    if (state !== connectivityState.READY) return;
    current.timeoutMs = FIRST_MESSAGE_TIMEOUT_MS;
  };

  /** Settles a pending `followAt`; any leader found satisfies it. */
  const settleFollowRequest = (address: string, isLeader: boolean): void => {
    if (
      followRequest === null ||
      (followRequest.address !== address && !isLeader)
    )
      return;
    followRequest.settle(isLeader);
    followRequest = null;
  };

  const endSession = (current: Session): void => {
    current.isOpen = false;
    if (current.isSynced) held = heldBy(current);
    if (session === current) session = null;
    const silentMs = Math.round(clock.now() - current.heardAt);
    const {leader, isLeader, redirect: elsewhere} = current;
    cfg.emit('leader-left', {leader, isLeader, elsewhere, silentMs});
    closeStream(current);
    for (const settle of current.pending.values())
      settle({kind: 'unavailable'});
    current.pending.clear();
  };

  /**
   * Closes the stream. A router that leads now announces its term first, so
   * that the former leader need not ask the platform.
   */
  const closeStream = ({stream, isLeader}: Session): void => {
    const epoch = cfg.termEpoch();
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

  const sendCounts = (current: Session): void => {
    const counts = cfg.owners.drainCounts();
    const unreachable = cfg.unreachableCount();
    const isNews = unreachable !== current.reportedUnreachable;
    if (!current.isOpen || (counts.size === 0 && !isNews)) return;
    current.reportedUnreachable = unreachable;
    current.stream.write({
      ...{kind: 'counts', counts: toWireCounts(counts)},
      ...(isNews && {unreachable}),
    });
  };

  /**
   * The router that the platform chose, or one of the deputies, in turn; the
   * lost leader last, since it takes long not to answer.
   */
  const guessAddress = (): string | null => {
    const deputyAddresses = [...cfg.ownDeputies(), ...deputies].map(
      ({address}) => address,
    );
    const addresses = new Set([cfg.chosenAddress(), ...deputyAddresses]);
    const candidates = [...addresses].filter(
      address =>
        address !== null &&
        address !== cfg.self.address &&
        !cfg.isGone(address),
    );
    candidates.sort(
      (a, b) => Number(a === lostLeader) - Number(b === lostLeader),
    );
    return candidates[guesses++ % candidates.length] ?? null;
  };

  const goesOn = (): boolean => !isStopped;
  const {emit} = cfg;
  repeat(
    {clock, emit, name: 'link', pauseMs: LEADER_SEARCH_MS, goesOn},
    async () => {
      if (followRequest === null && clock.now() < retryAt) return;
      for (
        let redirects = 0;
        redirects < MAX_REDIRECTS && !cfg.isLeading();
        redirects++
      ) {
        const leader = followRequest?.address ?? redirect ?? guessAddress();
        redirect = null;
        if (leader === null) return;
        await follow(leader);
        retryAt = clock.now() + nextRetryMs();
        if (redirect === null && followRequest === null) return;
      }
    },
  );

  return {
    acquire(request, signal) {
      const current = liveSession();
      if (current === null) return Promise.resolve({kind: 'unavailable'});
      const askNumber = ++lastAsk;
      return new Promise<SlotResult>(resolve => {
        const release = (how: 'cancelled'): void => {
          if (!current.pending.delete(askNumber)) return;
          sendEnd(current, askNumber, how, 0);
          resolve({kind: 'unavailable'});
        };
        const cancel = (): void => release('cancelled');
        signal.addEventListener('abort', cancel);
        current.pending.set(askNumber, reply => {
          signal.removeEventListener('abort', cancel);
          resolve(toSlotResult(current, askNumber, reply));
        });
        current.stream.write({kind: 'ask', ask: askNumber, place: request});
      });
    },
    leaderAgeMs: () => clock.now() - heardAt,
    neighbourAgeMs: () => clock.now() - neighbourListAt,
    leaderlessNeighbourAgeMs: () => clock.now() - leaderlessNeighbourAt,
    leader: () => liveSession()?.leader ?? null,
    leaderContactAgeMs: () => liveSession()?.leaderContactAgeMs ?? null,
    relaysConfig: () => liveSession()?.relaysConfig ?? false,
    followAt(address) {
      followRequest?.settle(false);
      const hasJustFailed =
        address === failedAddress &&
        clock.now() - failedAt < FAILED_ADDRESS_BACKOFF_MS;
      if (hasJustFailed) return Promise.resolve(false);
      return new Promise(settle => {
        followRequest = {address, settle};
      });
    },
    deputies: () => deputies,
    isDeputy,
    hasOtherDeputies() {
      const contactAgeMs = liveSession()?.leaderContactAgeMs ?? Infinity;
      if (contactAgeMs > WORKING_CONTACT_AGE_MS || deputies.length === 0)
        return false;
      return !isDeputy();
    },
    offerLeadership(address) {
      const stub = createStub(address);
      return new Promise(resolve => {
        const onReply = (err: Error | null, reply?: OfferReply): void => {
          cancelTimer();
          stub.close();
          const leads = err === null && reply!.leads;
          if (leads && address === failedAddress) failedAddress = '';
          resolve(leads);
        };
        const call = stub.lead({from: cfg.self.address}, onReply);
        // gRPC computes deadlines from the wall clock, which may jump.
        const cancelTimer = clock.after(OFFER_TIMEOUT_MS, () => call.cancel());
      });
    },
    carriers() {
      // Those named in an earlier cut may be cut off themselves now.
      const leader = liveSession()?.leader ?? null;
      const known = new Set([
        ...carriers,
        ...deputies.map(({address}) => address),
        ...(leader === null ? [] : [leader]),
      ]);
      known.delete(cfg.self.address);
      return [...known];
    },
    reportUnreachable() {
      if (session !== null) sendCounts(session);
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
