import type {CompletedAttempt} from '@banyandrum/dispatch/completed-attempt.js';
import type {ServerEntry} from '@banyandrum/dispatch/server-entry.js';
import type {Suspect} from '@banyandrum/dispatch/suspect.js';
import type {WireNames} from '@banyandrum/dispatch/wire.js';
import type {TableStore, SaveResult} from '@banyandrum/ranges/table-store.js';
import type {LeaseClient} from '@banyandrum/ranges/lease-client.js';
import type {RoutingConfig} from '@banyandrum/routing/config.js';

/** A change to the data centres that the operator has evacuated. */
export type EvacuationChange =
  | {readonly kind: 'evacuated'; readonly dataCentre: string}
  | {readonly kind: 'returned'; readonly dataCentre: string}
  /** An order that can't be decoded. */
  | {
      readonly kind: 'unreadable';
      readonly dataCentre: string;
      readonly detail: string;
    };

/** What a read of the platform's log says of evacuated data centres. */
export interface EvacuationsRead {
  /** Whether `changes` contains all that are evacuated. */
  readonly isWhole: boolean;
  readonly changes: readonly EvacuationChange[];
}

/** Result of reading the configuration. */
export type ConfigRead =
  | {
      readonly kind: 'read';
      /** Null if there is no newer readable configuration. */
      readonly config: RoutingConfig | null;
      /**
       * Why a newer configuration can't be read; null if there is none such.
       */
      readonly unreadable: string | null;
      /** Absent if the log says nothing of evacuated data centres. */
      readonly evacuations?: EvacuationsRead;
      /** Whether the log ended at the requested position. */
      readonly isUnchanged: boolean;
      /** Whether the log ends at `cursor`: nothing is left to read. */
      readonly isAtEnd: boolean;
      /** Position from which the next read continues. */
      readonly cursor: number;
    }
  | {readonly kind: 'failed'; readonly detail: string};

/** A change to the list of backend servers. */
export type ServerListChange =
  | {readonly kind: 'listed'; readonly server: ServerEntry}
  | {readonly kind: 'removed'; readonly id: string}
  /** An entry that can't be decoded. */
  | {
      readonly kind: 'unreadable';
      readonly id: string;
      readonly detail: string;
    };

/** Result of reading the list of backend servers. */
export type ServerListRead =
  | {
      readonly kind: 'read';
      /** Whether `changes` contains the whole list. */
      readonly isWhole: boolean;
      /**
       * Whether this is the first read since the store was restored: servers
       * that registered after the snapshot was taken have to register again.
       */
      readonly isRestored?: boolean;
      readonly changes: readonly ServerListChange[];
      readonly cursor: number;
    }
  | {readonly kind: 'failed'; readonly detail: string};

/** This router's membership in the group of routers. */
export interface Membership {
  /** Changes whenever a router joins or leaves the group. */
  readonly generation: number;
  /** Whether the platform chose this router to lead. */
  readonly isChosen: boolean;
}

/** The group of routers, as the platform keeps it. */
export interface Members {
  /** Joins the group or renews the membership; null if the call failed. */
  join(): Promise<Membership | null>;
  /** Leaves the group at once; false if the outcome is unknown. */
  leave(): Promise<boolean>;
  /** Names of all routers, the one chosen to lead first; null if unknown. */
  list(): Promise<readonly string[] | null>;
}

/** Durable records of quarantined requests, written by one leader at a time. */
export interface SuspectRecords {
  /** Reads all rows; null if they can't be read. */
  load(): Promise<readonly Suspect[] | null>;
  /** Writes a row, fenced by the leader's term; one call at a time. */
  save(epoch: number, row: Suspect): Promise<SaveResult>;
  /** Deletes a row, fenced by the leader's term. */
  drop(epoch: number, content: string): Promise<SaveResult>;
}

/**
 * The epochs of the platform's store as this router knows them. Restoring the
 * store from a snapshot begins a new epoch: writes since the snapshot are lost,
 * and positions in its logs are assigned again.
 */
export interface StoreHistory {
  /** The newest known epoch; 0 before the first. */
  epoch(): number;
  /** Monotonic time at which the newest epoch was first seen, in ms. */
  epochSeenAt(): number;
  /**
   * Calls `listener` for each new epoch. `before` is the previous epoch; null
   * for the first one that this process sees.
   */
  subscribe(listener: (epoch: number, before: number | null) => void): void;
}

/** The external platform that the router process depends on. */
export interface Platform {
  readonly names: WireNames;
  /**
   * Waits up to `waitMs` for a configuration newer than `cursor`; null reads
   * the current one.
   */
  readConfig(cursor: number | null, waitMs: number): Promise<ConfigRead>;
  /** Reads changes since `cursor`; null reads the whole list. */
  readServers(cursor: number | null): Promise<ServerListRead>;
  /** `self` is this router's name, under which other routers find it. */
  members(self: string): Members;
  readonly history: StoreHistory;
  readonly ledger: TableStore;
  readonly suspects: SuspectRecords;
  readonly orders: LeaseClient;
  /** Calls `listener` with the outcome of each lease call to a server. */
  subscribeLeaseCallOutcomes(
    listener: (outcome: CompletedAttempt) => void,
  ): void;
  /** Number of calls to the platform since the start, by purpose. */
  callCounts(): Readonly<Record<string, number>>;
  close(): void;
}
