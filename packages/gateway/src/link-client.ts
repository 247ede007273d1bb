import {sleep, type Clock} from '@banyandrum/base/clock.js';
import type {Emit} from '@banyandrum/dispatch/events.js';
import type {Place, Places} from '@banyandrum/dispatch/places.js';
import type {LimitRow} from '@banyandrum/dispatch/server-limits.js';
import type {Suspect} from '@banyandrum/dispatch/suspect.js';
import {credentials, makeGenericClientConstructor} from '@grpc/grpc-js';
import {
  LINK_SERVICE,
  SILENCE_MS,
  toPairs,
  type OfferReply,
} from './link-messages.js';
import {
  createSession,
  sendEnd,
  takeMessage,
  toPlace,
  untoldLeaving,
  untoldSuspects,
  type Beliefs,
  type LinkStream,
  type Session,
} from './link-session.js';
import {digestOf} from './link-state.js';
import {repeat} from './repeat.js';
import type {Candidate} from './room.js';

/** What following the leader needs. */
export interface LinkClientConfig extends Beliefs {
  readonly clock: Clock;
  readonly emit: Emit;
  /** `ip:port` of the router that was chosen; null: unknown, or this one. */
  chosen(): string | null;
  isLeading(): boolean;
  /** The term in which this router leads; null where it doesn't. */
  epoch(): number | null;
  /** Who this router is, for the leader. */
  readonly self: Candidate;
  /** The leader asks this router to lead in its place. */
  onOffered(): void;
  /** The leader is heard no more. */
  onLost(): void;
}

/** A router's end of its stream to the leader. */
export interface LinkClient extends Places {
  /** Time since the leader was last heard, in ms. */
  ageMs(): number;
  /** Whom this router hears as the leader, `ip:port`; null: nobody. */
  leader(): string | null;
  /** Since when the leader that is heard had no answer of the platform, ms. */
  leaderTouchMs(): number | null;
  /** Whether the leader passes on configurations, none of them missing. */
  relaysConfig(): boolean;
  /** Follows whoever leads at the address; false where nobody does. */
  reach(address: string): Promise<boolean>;
  /** Who should lead next, as the last leader told. */
  deputies(): readonly Candidate[];
  /** Whether the leader works, and names others than this one. */
  sparesSelf(): boolean;
  /** Asks the router at the address to lead; whether it does. */
  offer(address: string): Promise<boolean>;
  noteReplaced(server: string): void;
  /** Tells the leader that a server reported that it is leaving. */
  tellLeaving(server: string): void;
  /** Whether any leader told this router its whole state. */
  isTold(): boolean;
  /** Tells the leader of requests under which servers ended. */
  tellSuspects(rows: readonly Suspect[]): void;
  /** Tells the leader of limits that servers reported to this router. */
  tellLimits(rows: readonly LimitRow[]): void;
  stop(): void;
}

/** Somebody waits to hear whether a router leads. */
interface Wanted {
  readonly address: string;
  settle(isLeader: boolean): void;
}

/** An address where nobody led isn't tried again for this long, in ms. */
const VAIN_MS = 500;
/** Routers that are asked one after the other for whom they follow. */
const MAX_HOPS = 4;
/** Pause before the leader is tried again, in ms. */
const RETRY_MS = 200;
/** The last message of a stream has this time to arrive, in ms. */
const FAREWELL_MS = 300;
/**
 * The stream is looked at this often, in ms; counts go out as often. A leader's
 * silence is noticed that much later.
 */
const WATCH_MS = 100;
/** A leader is looked for this often, in ms. */
const SEEK_MS = 50;

/** One that is asked to lead answers within this time, in ms, or not at all. */
const OFFER_MS = 600;

/**
 * A leader that the platform answered within this time works, in ms: two of its
 * joins, and what the heartbeat lags.
 */
const SPARE_TOUCH_MS = 1_000;

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
  let isTold = false;
  let asks = 0;
  let deputies: readonly Candidate[] = [];
  let heardAt = -Infinity;
  /** Whom the last router that was asked follows. */
  let next: string | null = null;
  /** A leader is looked for at this address. */
  let wanted: Wanted | null = null;
  let triedAt = -Infinity;
  /** Addresses tried by guess since a leader was heard. */
  let guesses = 0;
  /** Where nobody led when it was tried last. */
  let vainAddress = '';
  let vainAt = -Infinity;

  const heard = (): Session | null =>
    session !== null && session.isLeader && isFresh(session) ? session : null;

  const isFresh = ({isOpen, heardAt: at}: Session): boolean =>
    isOpen && clock.now() - at < SILENCE_MS;

  const follow = async (leader: string): Promise<void> => {
    const stub = createStub(leader);
    const stream = stub['follow']!() as LinkStream;
    const own = createSession(stream, leader, clock.now());
    session = own;
    const known = cfg.list.snapshot();
    own.servers = known?.servers ?? [];
    const listDigest = known && digestOf(known.servers);
    const {address, room, dataCentre} = cfg.self;
    stream.write({kind: 'hello', address, room, dataCentre, listDigest});
    const close = (): void => {
      own.isOpen = false;
    };
    stream.on('data', message => {
      own.heardAt = clock.now();
      if (message.kind === 'lead') return cfg.onOffered();
      const {isLeader: wasLeader, isTold: wasTold} = own;
      takeMessage(cfg, own, message);
      // What this router learnt of another leader, or of none.
      if (own.isTold && !wasTold) {
        isTold = true;
        tell(own, untoldSuspects(own, cfg.suspects.rows()));
        tellLimits(own, cfg.limits.ownRows());
        for (const server of untoldLeaving(own, cfg.list)) {
          stream.write({kind: 'leaving', server});
        }
      }
      if (!own.isLeader) return;
      if (!wasLeader) cfg.emit('leader-followed', {leader});
      heardAt = own.heardAt;
      guesses = 0;
      deputies = own.deputies;
      reached(leader, true);
    });
    stream.on('end', close);
    stream.on('error', close);
    while (!isStopped && isFresh(own) && !cfg.isLeading()) {
      await sleep(clock, WATCH_MS);
      sendCounts(own);
    }
    end(own);
    // What was written last is still on its way.
    clock.after(FAREWELL_MS, () => stub.close());
    if (!own.isLeader) {
      vainAddress = leader;
      vainAt = clock.now();
    }
    reached(leader, false);
    next = own.elsewhere;
    if (own.isLeader) cfg.onLost();
  };

  /** Tells those who wait to hear of a leader, there or anywhere else. */
  const reached = (address: string, isLeader: boolean): void => {
    if (wanted === null || (wanted.address !== address && !isLeader)) return;
    wanted.settle(isLeader);
    wanted = null;
  };

  const end = (own: Session): void => {
    own.isOpen = false;
    if (session === own) session = null;
    const silentMs = Math.round(clock.now() - own.heardAt);
    const {leader, isLeader, elsewhere} = own;
    cfg.emit('leader-left', {leader, isLeader, elsewhere, silentMs});
    leave(own);
    for (const settle of own.pending.values()) settle({kind: 'unavailable'});
    own.pending.clear();
  };

  /** One that leads now tells so: whoever led need not ask the platform. */
  const leave = ({stream, isLeader}: Session): void => {
    const epoch = cfg.epoch();
    if (epoch === null || !isLeader) return stream.cancel();
    stream.write({kind: 'leading', epoch});
    stream.end();
    clock.after(FAREWELL_MS, () => stream.cancel());
  };

  const tell = ({stream, isOpen}: Session, rows: readonly Suspect[]): void => {
    if (isOpen && rows.length > 0) stream.write({kind: 'suspects', rows});
  };

  const tellLimits = (
    {stream, isOpen}: Session,
    rows: readonly LimitRow[],
  ): void => {
    if (isOpen && rows.length > 0) stream.write({kind: 'limits', rows});
  };

  const sendCounts = ({stream, isOpen}: Session): void => {
    const counts = cfg.owners.drainCounts();
    if (!isOpen || counts.size === 0) return;
    stream.write({kind: 'counts', counts: toPairs(counts)});
  };

  /** Whoever was chosen last, as far as is known, or should lead next. */
  const guess = (): string | null => {
    const named = deputies.map(({address}) => address);
    const known = [cfg.chosen(), ...named].filter(
      address => address !== null && address !== cfg.self.address,
    );
    return known[guesses++ % known.length] ?? null;
  };

  const goesOn = (): boolean => !isStopped;
  const {emit} = cfg;
  repeat({clock, emit, name: 'link', pauseMs: SEEK_MS, goesOn}, async () => {
    if (wanted === null && clock.now() - triedAt < RETRY_MS) return;
    for (let hops = 0; hops < MAX_HOPS && !cfg.isLeading(); hops++) {
      const leader = wanted?.address ?? next ?? guess();
      next = null;
      if (leader === null) return;
      await follow(leader);
      triedAt = clock.now();
      if (next === null && wanted === null) return;
    }
  });

  return {
    acquire(ask, signal) {
      const own = heard();
      if (own === null) return Promise.resolve({kind: 'unavailable'});
      const number = ++asks;
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
    leader: () => heard()?.leader ?? null,
    leaderTouchMs: () => heard()?.touchMs ?? null,
    relaysConfig: () => heard()?.relaysConfig ?? false,
    reach(address) {
      wanted?.settle(false);
      const isVain = address === vainAddress && clock.now() - vainAt < VAIN_MS;
      if (isVain) return Promise.resolve(false);
      return new Promise(settle => {
        wanted = {address, settle};
      });
    },
    deputies: () => deputies,
    sparesSelf() {
      const touchMs = heard()?.touchMs ?? Infinity;
      if (touchMs > SPARE_TOUCH_MS || deputies.length === 0) return false;
      return !deputies.some(({address}) => address === cfg.self.address);
    },
    offer(address) {
      const stub = createStub(address);
      return new Promise(resolve => {
        const take = (err: Error | null, reply?: OfferReply): void => {
          cancelTimer();
          stub.close();
          resolve(err === null && reply!.leads);
        };
        const call = stub['lead']!({from: cfg.self.address}, take);
        // The library counts deadlines by the time of day, which may jump.
        const cancelTimer = clock.after(OFFER_MS, () => call.cancel());
      });
    },
    noteReplaced(server) {
      if (session?.isOpen) session.stream.write({kind: 'replaced', server});
    },
    tellLeaving(server) {
      if (session?.isOpen) session.stream.write({kind: 'leaving', server});
    },
    isTold: () => isTold,
    tellSuspects(rows) {
      if (session !== null) tell(session, rows);
    },
    tellLimits(rows) {
      if (session !== null) tellLimits(session, rows);
    },
    stop() {
      isStopped = true;
    },
  };
}
