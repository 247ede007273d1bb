import type {Offset} from '@banyandrum/base/ids.js';
import type {LogRecord} from '@banyandrum/log/client.js';
import {decodeRecord} from './codec.js';
import {decodeState} from './snapshot.js';
import type {ClusterState} from './state.js';

const MAX_BUFFERED_RECORDS = 20_000;
const MAX_BUFFERED_BYTES = 128 * 1024 ** 2;

/**
 * Records kept by a reader that came after older ones expired, until it finds
 * a state that holds all that it missed.
 */
export interface LateStart {
  /** Takes a record; returns a state to go on from if it was a snapshot. */
  push(record: LogRecord): ClusterState | null;
  /** Whether a state holds everything below the records kept. */
  covers(state: ClusterState): boolean;
  /** The records to apply to that state. */
  records(): readonly LogRecord[];
}

/**
 * Starts keeping records from `first` on.
 *
 * A snapshot older than `first` is of no use: what was written between them
 * is lost, and a state without it could follow a deposed leader.
 *
 * @example
 * ```ts
 * const late = createLateStart(first);
 * const state = late.push(record);
 * if (state !== null) replay(state, late.records());
 * ```
 */
export function createLateStart(first: Offset): LateStart {
  let start = first;
  let records: LogRecord[] = [];
  let bytes = 0;

  const keep = (record: LogRecord): void => {
    const {byteLength} = record.data;
    const isFull =
      records.length >= MAX_BUFFERED_RECORDS ||
      bytes + byteLength > MAX_BUFFERED_BYTES;
    if (isFull) {
      // Starting over with a later record is sound: it only takes a later
      // snapshot, and routers write them far more often than this.
      start = record.offset;
      records = [];
      bytes = 0;
    }
    records.push(record);
    bytes += byteLength;
  };
  const covers = (state: ClusterState): boolean => state.next >= start;

  return {
    push(record) {
      keep(record);
      const state = snapshotIn(record);
      return state !== null && covers(state) ? state : null;
    },
    covers,
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
