import type {Offset} from '@banyandrum/base/ids.js';
import type {Result} from '@banyandrum/base/result.js';

/**
 * Why a call to the log failed.
 *
 * - `unavailable`: certainly not applied (rejected, or never sent).
 * - `unknown`: an append that may have been applied; a read shows whether.
 * - `expired`: the requested records were deleted; `first` is the oldest left.
 * - `too-large`: the record exceeds the log's limit; not applied.
 */
export type LogErrorKind = 'unavailable' | 'unknown' | 'expired' | 'too-large';

export interface LogError {
  readonly kind: LogErrorKind;
  readonly detail: string;
  /** With `expired`: the oldest retained offset. */
  readonly first?: Offset;
}

export interface LogRecord {
  readonly offset: Offset;
  readonly data: Uint8Array;
}

export interface LogPage {
  /** The oldest retained offset. */
  readonly first: Offset;
  /** The offset of the next append. */
  readonly end: Offset;
  readonly records: readonly LogRecord[];
}

export interface ReadOptions {
  /** The first offset to read. */
  readonly from: Offset;
  readonly maxRecords: number;
  /** Maximum time that the log waits for a record, in ms. */
  readonly waitMs: number;
  /** Timeout in addition to `waitMs`, in ms; by default the client's. */
  readonly timeoutMs?: number;
}

/**
 * Client of the platform's append-only log. The contract tests check the
 * assumption that a read which begins after an append was confirmed sees it.
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
