import type {RangeTable} from './table.js';

/** Result of writing to the store. */
export type SaveResult =
  | 'saved'
  /** A newer leader has started its term; this one must stop. */
  | 'fenced'
  /** Not acknowledged; the write may have been carried out, or may be later. */
  | 'failed'
  /** This write was not carried out and never will be. */
  | 'unsent';

/** Result of reading the leader's address. */
export type LeaderRead =
  /** The address is null if there has been no leader yet. */
  | {readonly kind: 'read'; readonly address: string | null}
  | {readonly kind: 'failed'};

/** The leader of a term, as recorded with the term. */
export interface TermLeader {
  /** The term's epoch. */
  readonly epoch: number;
  /** The address at which other routers reach it, `ip:port`. */
  readonly address: string;
  /** Distinguishes its process from others at the same address. */
  readonly run: string;
}

/**
 * Durable store of the range tables. Once a leader has started its term, no
 * write of an earlier leader is accepted, however late it arrives.
 */
export interface TableStore {
  /**
   * Starts a new leader term: fences off earlier leaders, stores this leader's
   * address for the other routers, and records its address and process (`run`)
   * with the term. Resolves with the term's epoch, or null if it could not be
   * started. Epochs increase across restores of the store (`fence.ts`).
   */
  beginTerm(address: string, run: string): Promise<number | null>;
  /**
   * Reads the leader of the term directly before this one's. Resolves with null
   * if it is unknown, for example because that term began before the store was
   * restored or was started by an earlier version of the program.
   */
  previousLeader(): Promise<TermLeader | null>;
  /**
   * Whether no later term had been started when the call was made; null if that
   * is unknown, for example after a restore of the store.
   */
  isNewestTerm(): Promise<boolean | null>;
  /** Reads the address of the leader that started its term last. */
  lastLeader(): Promise<LeaderRead>;
  /** Reads the newest tables; null if they can't be read. */
  load(): Promise<readonly RangeTable[] | null>;
  /**
   * Writes a table; one call at a time. It fails after a restore of the store,
   * because a term may only write in the store epoch in which it began.
   */
  save(table: RangeTable): Promise<SaveResult>;
}
