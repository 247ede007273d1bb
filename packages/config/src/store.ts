import type {Offset} from '@banyandrum/base/ids.js';
import type {LogError} from '@banyandrum/log/client.js';
import type {Result} from '@banyandrum/base/result.js';
import type {StateRecord} from './records.js';
import type {ClusterState} from './state.js';

/** The outcome of an append that was read back. */
export interface Appended {
  readonly offset: Offset;
  /** The state right after the record was applied, or a later one. */
  readonly state: ClusterState;
}

/** This process's reading of the log: one state that only moves forward. */
export interface StateStore {
  /** The newest state read; never goes back. */
  current(): ClusterState;
  /**
   * Monotonic time at which the last successful read of the log's end was
   * sent; `-Infinity` before the first. Everything appended before that time
   * is in `current()`.
   */
  confirmedAt(): number;
  /** Calls `listener` after each change; returns how to stop. */
  subscribe(listener: (state: ClusterState) => void): () => void;
  /**
   * Appends a record and waits until it was read back, so that a lost reply
   * is found out. `unknown` only where the log fell silent before that.
   */
  append(
    record: StateRecord,
    signal?: AbortSignal,
  ): Promise<Result<Appended, LogError>>;
  /** Takes over a peer's newer state, for a start while the log is down. */
  adopt(encoded: string): boolean;
  close(): Promise<void>;
}
