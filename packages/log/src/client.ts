import type {Offset} from '@banyandrum/base/ids.js';
import type {Result} from '@banyandrum/base/result.js';

/**
 * Why a call to the log failed.
 *
 * - `unavailable`: proved not applied (refused, or never written).
 * - `unknown`: an append that may have been applied; read back to find out.
 * - `expired`: the records asked for are gone; `first` is the oldest kept.
 * - `too-large`: the record exceeds the log's limit; not applied.
 */
export type LogErrorKind = 'unavailable' | 'unknown' | 'expired' | 'too-large';

export interface LogError {
  readonly kind: LogErrorKind;
  readonly detail: string;
  /** With `expired`: the oldest offset kept. */
  readonly first?: Offset;
}

export interface LogRecord {
  readonly offset: Offset;
  readonly data: Uint8Array;
}

export interface LogPage {
  /** The oldest offset kept. */
  readonly first: Offset;
  /** The offset that the next append gets. */
  readonly end: Offset;
  readonly records: readonly LogRecord[];
}

export interface ReadOptions {
  /** The first offset wanted. */
  readonly from: Offset;
  readonly maxRecords: number;
  /** How long the log may wait for a record to arrive, in ms. */
  readonly waitMs: number;
  /** How long the answer may take beyond `waitMs`, in ms; else the client's. */
  readonly timeoutMs?: number;
}

/**
 * The platform's append-only log. Assumed of it, and stated in the contract
 * tests: a read that begins after an append was confirmed sees that append.
 */
export interface LogClient {
  append(
    data: Uint8Array,
    signal?: AbortSignal,
  ): Promise<Result<Offset, LogError>>;
  read(
    options: ReadOptions,
    signal?: AbortSignal,
  ): Promise<Result<LogPage, LogError>>;
  close(): Promise<void>;
}
