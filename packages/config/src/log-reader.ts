import type {Offset} from '@banyandrum/base/ids.js';
import type {Logger} from '@banyandrum/base/logger.js';
import type {LogRecord} from '@banyandrum/log/client.js';
import type {TailPage} from '@banyandrum/log/tail.js';
import {decodeRecord} from './codec.js';
import type {DecodedRecord} from './codec.js';
import {EMPTY_STATE, applyDecoded} from './fold.js';
import {createLateStart} from './late-start.js';
import type {LateStart} from './late-start.js';
import type {ClusterState} from './state.js';

/** Turns the log's pages into a state that only moves forward. */
export interface LogReader {
  current(): ClusterState;
  /** See `StateStore.confirmedAt`. */
  confirmedAt(): number;
  takePage(page: TailPage): Promise<void>;
  /** Told that records below `first` are gone; returns where to go on. */
  takeExpired(first: Offset): Offset;
  /** Takes over a state from elsewhere where it is newer. */
  adopt(state: ClusterState): boolean;
}

export interface LogReaderOptions {
  readonly log: Logger;
  /** Told of each record read, with the state after it or a later one. */
  readonly onRecord: (
    offset: Offset,
    decoded: DecodedRecord,
    state: ClusterState,
  ) => void;
  /** Told when the state moved, at most once for each page. */
  readonly onMoved: (state: ClusterState) => void;
}

/** Bytes applied before other tasks get a turn. */
const BYTES_IN_A_TURN = 256 * 1024;

/**
 * Makes a reader that has read nothing yet.
 *
 * @example
 * ```ts
 * const reader = createLogReader({log, onRecord, onMoved});
 * await runTail({onPage: reader.takePage, onExpired: reader.takeExpired});
 * ```
 */
export function createLogReader(options: LogReaderOptions): LogReader {
  const {log, onRecord, onMoved} = options;
  let state = EMPTY_STATE;
  let confirmedAt = -Infinity;
  let lateStart: LateStart | null = null;

  const move = (next: ClusterState): void => {
    if (next.next > state.next) state = next;
  };

  const applyAll = async (records: readonly LogRecord[]): Promise<void> => {
    let bytes = 0;
    for (const {offset, data} of records) {
      const decoded = decodeRecord(data);
      move(applyDecoded(state, offset, decoded));
      onRecord(offset, decoded, state);
      bytes += data.byteLength;
      if (bytes < BYTES_IN_A_TURN) continue;
      bytes = 0;
      await new Promise(resolve => setImmediate(resolve));
    }
  };

  const takeRecord = async (record: LogRecord): Promise<void> => {
    if (lateStart === null) return applyAll([record]);
    const loaded = lateStart.push(record);
    if (loaded !== null) await endLateStart(loaded, lateStart);
  };

  const endLateStart = (
    loaded: ClusterState,
    late: LateStart,
  ): Promise<void> => {
    log.info('state taken over', {next: loaded.next});
    lateStart = null;
    move(loaded);
    return applyAll(late.records());
  };

  return {
    current: () => state,
    confirmedAt: () => confirmedAt,
    async takePage({page, confirmedAt: at}) {
      const before = state;
      if (lateStart?.covers(state)) await endLateStart(state, lateStart);
      for (const record of page.records) await takeRecord(record);
      // Without the records that expired, or told of an end other than what
      // it has read up to, this reader must not count as having read all: a
      // leader would go on though the log names another.
      const isWhole = lateStart === null && page.end === state.next;
      if (at !== null && isWhole) confirmedAt = at;
      if (state !== before) onMoved(state);
    },
    takeExpired(first) {
      if (state.next >= first) return state.next;
      log.warn('waiting for a snapshot', {first, next: state.next});
      lateStart = createLateStart(first);
      return first;
    },
    adopt(adopted) {
      if (adopted.next <= state.next) return false;
      state = adopted;
      onMoved(state);
      return true;
    },
  };
}
