import type {
  PlaceAsk,
  PlaceEnd,
  PlaceReply,
} from '@banyandrum/dispatch/places.js';
import type {LimitRow} from '@banyandrum/dispatch/server-limits.js';
import type {Suspect} from '@banyandrum/dispatch/suspect.js';
import type {ServiceDefinition} from '@grpc/grpc-js';
import type {KeyCounts} from './key-owners.js';
import type {WireConfig} from './link-config.js';
import type {ListDelta, TablesDelta} from './link-state.js';
import {
  decode,
  decodeFollower,
  decodeLeader,
  encode,
  encodeFollower,
  encodeLeader,
} from './link-codec.js';
import type {Candidate} from './host-capacity.js';

/** An ask as it travels: its router said once where it stands. */
export type LinkAsk = Omit<PlaceAsk, 'dataCentre'>;

/** What a router sends to the leader. */
export type FollowerMessage =
  /** The first of a stream: who follows. */
  | (Candidate & {
      readonly kind: 'hello';
      /** Of the list of servers as it knows it; null: not at all. */
      readonly listDigest: string | null;
    })
  /** Looks for a place; `ask` numbers it within the stream. */
  | {readonly kind: 'ask'; readonly ask: number; readonly place: LinkAsk}
  /** Gives the place back, or takes back the ask. */
  | {
      readonly kind: 'end';
      readonly ask: number;
      readonly how: PlaceEnd;
      readonly tookMs: number;
    }
  /** The last of one that leads now; its term. */
  | {readonly kind: 'leading'; readonly epoch: number}
  /** Requests that it placed by itself: service, then key and count. */
  | {
      readonly kind: 'counts';
      readonly counts: WireCounts;
    }
  /** Requests under which servers ended, as this router saw it. */
  | {readonly kind: 'suspects'; readonly rows: readonly Suspect[]}
  /** Limits that servers reported to this router. */
  | {readonly kind: 'limits'; readonly rows: readonly LimitRow[]}
  /** The server reported that it is leaving. */
  | {readonly kind: 'leaving'; readonly server: string}
  /** The run of a server has ended. */
  | {readonly kind: 'replaced'; readonly server: string};

/** What the leader sends. */
export type LeaderMessage =
  | {readonly kind: 'reply'; readonly ask: number; readonly reply: PlaceReply}
  /** Whenever something changed, and as a heartbeat. */
  | {
      readonly kind: 'state';
      /** What changed since the stream's last state; all in its first. */
      readonly tables: TablesDelta | null;
      readonly list: ListDelta | null;
      /** Null before the leader has a list, or while its link is short. */
      readonly listCursor: number | null;
      readonly listAgeMs: number;
      /** Where its configuration came from in the platform's log; null: none. */
      readonly configCursor: number | null;
      /** A version that is news to the follower, where it fits the link. */
      readonly config: WireConfig | null;
      /** Since when the leader knows of nothing newer, in ms. */
      readonly configAgeMs: number;
      /**
       * Routers with the most room, the best first: who should lead next. Null
       * where they are those of the stream's last state.
       */
      readonly deputies: readonly Candidate[] | null;
      /** Rows that changed since the stream's last state, if any did. */
      readonly suspects?: readonly Suspect[];
      /** All limits, if any changed since the stream's last state. */
      readonly limits?: readonly LimitRow[];
      /** Routers that follow the leader, and itself. */
      readonly routers: number;
      /** Since when the leader had no answer of the platform, in ms. */
      readonly touchMs: number;
    }
  /** The leader would rather be led by this router, which has more room. */
  | {readonly kind: 'lead'}
  /** The last message of one that doesn't lead: whom it follows, if any. */
  | {readonly kind: 'elsewhere'; readonly leader: string | null};

/** A message that was encoded once for many streams. */
export interface EncodedMessage {
  readonly bytes: Buffer;
}

export type StateMessage = Extract<LeaderMessage, {kind: 'state'}>;

/** Counts by service: keys and counts in turn. */
export type WireCounts = Readonly<Record<string, readonly number[]>>;

/** The leader tells its state this often at least, in ms. */
export const HEARTBEAT_MS = 200;
/**
 * A leader that is silent for so long is left, in ms: requests that wait for
 * its answer still have time to be placed without it.
 */
export const LEADER_TIMEOUT_MS = 600;

/** A router that could lead asks one with more room to do it. */
export interface Offer {
  /** Who asks, `ip:port`. */
  readonly from: string;
}

/** Whether the other one leads now. */
export interface OfferReply {
  readonly leads: boolean;
}

/** What routers ask of each other: one stream, and one question. */
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
} as const satisfies ServiceDefinition;

/** Counts as they travel. */
export function toWireCounts(counts: KeyCounts): WireCounts {
  const pairs: Record<string, readonly number[]> = {};
  for (const [service, keys] of counts) pairs[service] = [...keys].flat();
  return pairs;
}

/** Counts as they came. */
export function fromWireCounts(counts: WireCounts): KeyCounts {
  const result = new Map<string, Map<number, number>>();
  for (const [service, pairs] of Object.entries(counts)) {
    const keys = new Map<number, number>();
    for (let at = 0; at + 1 < pairs.length; at += 2) {
      keys.set(pairs[at]!, pairs[at + 1]!);
    }
    result.set(service, keys);
  }
  return result;
}
