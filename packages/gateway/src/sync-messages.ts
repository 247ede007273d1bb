import type {ServerInfo} from '@banyandrum/dispatch/backend.js';
import type {ServedRange} from '@banyandrum/ranges/table.js';

/** What a router tells the leader, and what it knows already. */
export interface SyncRequest {
  /** The sender's name. */
  readonly from: string;
  /** The version of the tables that it has; empty for none. */
  readonly tables: string;
  /** The version of the server list that it has; empty for none. */
  readonly list: string;
  /** Requests since its last message: service, then key and count in turn. */
  readonly counts: Readonly<Record<string, readonly number[]>>;
  /** Servers' times since its last message. */
  readonly times: readonly ServerTimes[];
  /** Servers whose runs it saw to have ended. */
  readonly replaced: readonly string[];
}

/** Server id, number of requests, and their service times added up, in ms. */
export type ServerTimes = readonly [string, number, number];

/** The leader's answer, at once or when something changed. */
export interface SyncReply {
  readonly tablesVersion: string;
  /** Null where the asker has this version. */
  readonly tables: Readonly<Record<string, readonly ServedRange[]>> | null;
  readonly listVersion: string;
  readonly list: readonly ServerInfo[] | null;
  readonly listCursor: number | null;
  /** Age of the leader's list, in ms. */
  readonly listAgeMs: number;
  /** Where the leader's configuration came from in its log; null: none. */
  readonly configCursor: number | null;
}

/** Largest message accepted, in bytes; a table of 300 servers takes 60 kB. */
export const MAX_SYNC_BYTES = 4 * 1024 * 1024;

/** A quiet exchange lasts this long, in ms: it tells that both are alive. */
export const SYNC_HOLD_MS = 500;
