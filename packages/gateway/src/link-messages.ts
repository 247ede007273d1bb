import type {
  SlotRequest,
  SlotOutcome,
  SlotReply,
} from '@banyandrum/dispatch/slots.js';
import type {LimitRow} from '@banyandrum/dispatch/server-limits.js';
import type {Suspect} from '@banyandrum/dispatch/suspect.js';
import type {TimeRow} from '@banyandrum/service-times/time-row.js';
import type {ServiceDefinition} from '@grpc/grpc-js';
import type {HeldDigests, HeldPart} from './held-state.js';
import type {KeyCounts} from './key-owners.js';
import type {WireConfig} from './link-config.js';
import type {ListDelta, TablesDelta} from './link-state.js';
import {
  decodeCarryReply,
  decodeCarryRequest,
  encodeCarryReply,
  encodeCarryRequest,
} from './carry-messages.js';
import {
  decode,
  decodeFollower,
  decodeLeader,
  encode,
  encodeFollower,
  encodeLeader,
} from './link-codec.js';
import type {Candidate} from './host-capacity.js';
import type {TermEndQuestion} from './term-end.js';

/** A slot request in wire format; `hello` has the router's data centre. */
export type WireSlotRequest = Omit<SlotRequest, 'dataCentre'>;

/** A message from a follower to the leader. */
export type FollowerMessage =
  /** The first message of a stream identifies the follower. */
  | (Candidate & {
      readonly kind: 'hello';
      /** Digest of the server list that it has; null if it has none. */
      readonly listDigest: string | null;
      /**
       * What else it has from its last leader; absent if nothing, and from
       * earlier versions of the program.
       */
      readonly held?: HeldDigests;
      /** Servers that it can't reach although others can; 0 if absent. */
      readonly unreachable?: number;
    })
  /** Requests a slot; `ask` identifies the request within the stream. */
  | {
      readonly kind: 'ask';
      readonly ask: number;
      readonly place: WireSlotRequest;
    }
  /** Releases the slot, or cancels the request for one. */
  | {
      readonly kind: 'end';
      readonly ask: number;
      readonly how: SlotOutcome;
      readonly tookMs: number;
      /**
       * Slowdown by other work on the server's machine, as its answer reported
       * it; 1 is usual. Absent if it didn't or if nobody uses it.
       */
      readonly slowdown?: number;
    }
  /** The last message of a router that leads now, with its term's epoch. */
  | {readonly kind: 'leading'; readonly epoch: number}
  /**
   * Number of requests that it routed by its own tables, by service and key.
   */
  | {
      readonly kind: 'counts';
      readonly counts: WireCounts;
      /** Servers that it can't reach although others can; absent if unchanged. */
      readonly unreachable?: number;
    }
  /** Requests during which servers crashed, as this router observed it. */
  | {readonly kind: 'suspects'; readonly rows: readonly Suspect[]}
  /** Request limits that servers sent to this router. */
  | {readonly kind: 'limits'; readonly rows: readonly LimitRow[]}
  /**
   * Data centres that are evacuated as of a position that this router read,
   * although the leader knows an earlier one only.
   */
  | {
      readonly kind: 'evacuated';
      readonly cursor: number;
      readonly dataCentres: readonly string[];
    }
  /** The server announced that it is leaving. */
  | {readonly kind: 'leaving'; readonly server: string}
  /** Another instance replaced the server. */
  | {readonly kind: 'replaced'; readonly server: string};

/** A message from the leader to a follower. */
export type LeaderMessage =
  | {readonly kind: 'reply'; readonly ask: number; readonly reply: SlotReply}
  /** Sent after changes and as a heartbeat. */
  | {
      readonly kind: 'state';
      /** Changes since the stream's last state; everything in the first one. */
      readonly tables: TablesDelta | null;
      readonly list: ListDelta | null;
      /** Null while the leader has no list or no bandwidth to send it. */
      readonly listCursor: number | null;
      readonly listAgeMs: number;
      /** Log position of its configuration; null if it has none. */
      readonly configCursor: number | null;
      /**
       * A version that the follower doesn't have, if the link has bandwidth.
       */
      readonly config: WireConfig | null;
      /**
       * See `RelayedPosition`; absent if unchanged since the stream's last state.
       * Earlier versions of the program never send it.
       */
      readonly configVersion?: number | null;
      readonly evacuated?: readonly string[];
      /** Time since the log was known to end at `configCursor`, in ms. */
      readonly configAgeMs: number;
      /**
       * The leader's monotonic clock as it sent this, in ms; absent from earlier
       * versions of the program.
       */
      readonly sentAt?: number;
      /**
       * Routers designated to lead next, the best first. Null if they are the
       * same as in the stream's last state.
       */
      readonly deputies: readonly Candidate[] | null;
      /** Rows that changed since the stream's last state, if any. */
      readonly suspects?: readonly Suspect[];
      /** All limits, if any changed since the stream's last state. */
      readonly limits?: readonly LimitRow[];
      /**
       * Rows of request times that changed, if any. Sent only to deputies, at
       * most once a second, and if times are kept by kind.
       */
      readonly times?: readonly TimeRow[];
      /**
       * Parts that the follower named and that this state changes or leaves as
       * they are, in the stream's first full state. Absent from earlier versions
       * of the program, which send all.
       */
      readonly kept?: readonly HeldPart[];
      /** Number of followers plus the leader. */
      readonly routers: number;
      /** Time since the leader last reached the platform, in ms. */
      readonly touchMs: number;
    }
  /** Asks this router, which is better placed to lead, to do so. */
  | {readonly kind: 'lead'}
  /**
   * Addresses of routers that may carry this one's attempts, the nearest first.
   * Sent only to those that reported servers that they can't reach.
   */
  | {readonly kind: 'carriers'; readonly addresses: readonly string[]}
  /**
   * Last message of a router that doesn't lead: the leader it follows, if any.
   */
  | {
      readonly kind: 'elsewhere';
      readonly leader: string | null;
      /**
       * Up to where it knows the list of servers. Only in the answer to a new
       * stream; absent from earlier versions of the program.
       */
      readonly list?: ListPosition;
    };

/** A position of the list of servers, and how long ago the list ended there. */
export interface ListPosition {
  readonly cursor: number;
  readonly ageMs: number;
}

/** A message that is encoded once for many streams. */
export interface EncodedMessage {
  readonly bytes: Buffer;
}

export type StateMessage = Extract<LeaderMessage, {kind: 'state'}>;

/** Request counts by service, as alternating keys and counts. */
export type WireCounts = Readonly<Record<string, readonly number[]>>;

/** Maximum interval between two states that the leader sends, in ms. */
export const HEARTBEAT_MS = 200;
/** Limit of one message between routers, in bytes; bodies travel in one. */
export const MAX_LINK_MESSAGE_BYTES = 64 * 1024 ** 2;
/**
 * A follower closes the stream after this time without a message, in ms.
 * Requests that wait for a reply can then still be routed without the leader in
 * time.
 */
export const LEADER_TIMEOUT_MS = 600;
/**
 * The same until the first message of a stream, from the time at which it was
 * opened, if the other router has accepted the connection. No request waits for
 * a reply on it yet. A router that left earlier would open another stream, whose
 * state the late leader has to send as well.
 */
export const FIRST_MESSAGE_TIMEOUT_MS = 2_000;

/** A router that may lead offers leadership to one with more capacity. */
export interface Offer {
  /** The address of the offering router, `ip:port`. */
  readonly from: string;
}

/** Whether the router that got the offer leads now. */
export interface OfferReply {
  readonly leads: boolean;
}

/**
 * The gRPC service between routers: the leader stream, the offer, the question
 * whether a term has ended, and attempts that one router sends for another.
 * Earlier versions of the program don't know that question.
 */
export const LINK_SERVICE = {
  follow: {
    path: '/banyandrum.Link/Follow',
    requestStream: true,
    responseStream: true,
    requestSerialize: encodeFollower,
    requestDeserialize: decodeFollower,
    responseSerialize: encodeLeader,
    responseDeserialize: decodeLeader,
  },
  lead: {
    path: '/banyandrum.Link/Lead',
    requestStream: false,
    responseStream: false,
    requestSerialize: encode,
    requestDeserialize: decode as (bytes: Buffer) => Offer,
    responseSerialize: encode,
    responseDeserialize: decode as (bytes: Buffer) => OfferReply,
  },
  termEnd: {
    path: '/banyandrum.Link/TermEnd',
    requestStream: false,
    responseStream: false,
    requestSerialize: encode,
    requestDeserialize: decode as (bytes: Buffer) => TermEndQuestion,
    responseSerialize: encode,
    responseDeserialize: decode,
  },
  carry: {
    path: '/banyandrum.Link/Carry',
    requestStream: false,
    responseStream: false,
    requestSerialize: encodeCarryRequest,
    requestDeserialize: decodeCarryRequest,
    responseSerialize: encodeCarryReply,
    responseDeserialize: decodeCarryReply,
  },
} as const satisfies ServiceDefinition;

/** Converts request counts to wire format. */
export function toWireCounts(counts: KeyCounts): WireCounts {
  const pairs: Record<string, readonly number[]> = {};
  for (const [service, keys] of counts) pairs[service] = [...keys].flat();
  return pairs;
}

/** Converts request counts from wire format. */
export function fromWireCounts(counts: WireCounts): KeyCounts {
  const result = new Map<string, Map<number, number>>();
  for (const [service, pairs] of Object.entries(counts)) {
    const keys = new Map<number, number>();
    for (let i = 0; i + 1 < pairs.length; i += 2) {
      keys.set(pairs[i]!, pairs[i + 1]!);
    }
    result.set(service, keys);
  }
  return result;
}
