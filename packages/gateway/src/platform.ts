import type {ServerInfo} from '@banyandrum/dispatch/backend.js';
import type {AttemptOutcome} from '@banyandrum/dispatch/attempt-outcome.js';
import type {Suspect} from '@banyandrum/dispatch/suspect.js';
import type {WireNames} from '@banyandrum/dispatch/wire.js';
import type {TableStore, SaveResult} from '@banyandrum/ranges/ledger.js';
import type {LeaseClient} from '@banyandrum/ranges/orders.js';
import type {RoutingConfig} from '@banyandrum/routing/config.js';

/** What a read of the configuration yields. */
export type ConfigRead =
  | {
      readonly kind: 'read';
      /** Null where there is nothing newer that can be read. */
      readonly config: RoutingConfig | null;
      /** Why something newer can't be read; null where all can. */
      readonly unreadable: string | null;
      /** Where the next read goes on. */
      readonly cursor: number;
    }
  | {readonly kind: 'failed'; readonly detail: string};

/** A change of the list of backend servers. */
export type ListChange =
  | {readonly kind: 'listed'; readonly server: ServerInfo}
  | {readonly kind: 'removed'; readonly id: string}
  /** An entry that is not understood. */
  | {
      readonly kind: 'unreadable';
      readonly id: string;
      readonly detail: string;
    };

/** What a read of the list of backend servers yields. */
export type ListRead =
  | {
      readonly kind: 'read';
      /** Whether `changes` are the whole list instead. */
      readonly isWhole: boolean;
      /**
       * Whether it is the first read since the store was restored: servers that
       * registered since the copy have yet to do it again.
       */
      readonly isRestored?: boolean;
      readonly changes: readonly ListChange[];
      readonly cursor: number;
    }
  | {readonly kind: 'failed'; readonly detail: string};

/** This router's place among the routers. */
export interface Membership {
  /** Changes whenever a router comes or goes. */
  readonly generation: number;
  /** Whether this router was chosen to lead. */
  readonly isChosen: boolean;
}

/** Routers in touch with the platform. */
export interface Members {
  /** Tells that this router is there; null where nothing was learnt. */
  join(): Promise<Membership | null>;
  /** Takes this router out at once; false where that is not known. */
  leave(): Promise<boolean>;
  /** All routers' names, the one chosen to lead first; null if unknown. */
  list(): Promise<readonly string[] | null>;
}

/** Keeps what is quarantined for good, for one leader at a time. */
export interface SuspectRecords {
  /** All rows; null where they can't be read. */
  load(): Promise<readonly Suspect[] | null>;
  /** Writes a row for the leader of this term; one call at a time. */
  save(epoch: number, row: Suspect): Promise<SaveResult>;
  /** Takes a row out. */
  drop(epoch: number, content: string): Promise<SaveResult>;
}

/**
 * The history of the platform's store as this router knows it. A store that is
 * restored from a copy begins a new epoch: what was written since the copy is
 * gone, and positions in its logs are given out again.
 */
export interface StoreHistory {
  /** The newest epoch that is known; 0 before the first. */
  epoch(): number;
  /** Monotonic time at which that epoch was first seen, in ms. */
  seenAt(): number;
  /** `before` is null at the first epoch that this process sees. */
  subscribe(listener: (epoch: number, before: number | null) => void): void;
}

/** The platform as the router process uses it. */
export interface Platform {
  readonly names: WireNames;
  /** Waits up to `waitMs` for something newer than `cursor`; null: whole. */
  readConfig(cursor: number | null, waitMs: number): Promise<ConfigRead>;
  readServers(cursor: number | null): Promise<ListRead>;
  /** `self` is this router's name, which is how the others find it. */
  members(self: string): Members;
  readonly history: StoreHistory;
  readonly ledger: TableStore;
  readonly suspects: SuspectRecords;
  readonly orders: LeaseClient;
  /** Calls `listener` with the outcome of each order that was sent. */
  subscribeOrderOutcomes(listener: (outcome: AttemptOutcome) => void): void;
  /** Calls to the platform since the start, by what they were for. */
  callCounts(): Readonly<Record<string, number>>;
  close(): void;
}
