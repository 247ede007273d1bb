import type {Offset} from '@banyandrum/base/ids.js';
import type {LogRecord} from '@banyandrum/log/client.js';
import {decodeRecord} from './codec.js';
import {decodeState} from './snapshot.js';
import type {ClusterState} from './state.js';

const MAX_BUFFERED_RECORDS = 20_000;
const MAX_BUFFERED_BYTES = 128 * 1024 ** 2;

/**
 * Records kept, not yet applied, by a reader that hasn't reached the log's
 * end: a snapshot further on may save it from applying them.
 */
export interface CatchUp {
  push(record: LogRecord): void;
  /**
   * The newest state to go on from, of the snapshots read and the reader's
   * own; null where neither holds everything below the records kept.
   */
  base(own: ClusterState): ClusterState | null;
  /** The records to apply to that state. */
  records(): readonly LogRecord[];
}

/**
 * Starts keeping records from `first` on.
 *
 * A state older than `first` is of no use: what was written between them is
 * lost, and a state without it could follow a deposed leader.
 *
 * @example
 * ```ts
 * const catchUp = createCatchUp(first);
 * for (const record of page.records) catchUp.push(record);
 * const base = catchUp.base(state);
 * if (base !== null) replay(base, catchUp.records());
 * ```
 */
export function createCatchUp(first: Offset): CatchUp {
  let start = first;
  let records: LogRecord[] = [];
  let bytes = 0;
  let newest: ClusterState | null = null;

  const covers = (state: ClusterState): boolean => state.next >= start;
  const keepFrom = (offset: Offset): void => {
    records = records.filter(record => record.offset >= offset);
    bytes = records.reduce((sum, {data}) => sum + data.byteLength, 0);
  };

  return {
    push(record) {
      const {byteLength} = record.data;
      const isFull =
        records.length >= MAX_BUFFERED_RECORDS ||
        bytes + byteLength > MAX_BUFFERED_BYTES;
      if (isFull) {
        // Starting over with a later record is sound: it only takes a later
        // snapshot, and routers write them far more often than this.
        start = record.offset;
        newest = null;
        keepFrom(start);
      }
      records.push(record);
      bytes += byteLength;
      const state = snapshotIn(record);
      if (state === null || !covers(state)) return;
      if (newest !== null && state.next <= newest.next) return;
      newest = state;
      keepFrom(state.next);
    },
    base(own) {
      if (newest !== null && newest.next >= own.next) return newest;
      return covers(own) ? own : null;
    },
    records: () => records,
  };
}

function snapshotIn(record: LogRecord): ClusterState | null {
  const decoded = decodeRecord(record.data);
  if (decoded.kind !== 'record') return null;
  if (decoded.record.kind !== 'snapshot') return null;
  const state = decodeState(decoded.record.state);
  return state?.next === decoded.record.next ? state : null;
}
