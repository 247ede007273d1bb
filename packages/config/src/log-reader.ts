import type {Offset} from '@banyandrum/base/ids.js';
import type {Logger} from '@banyandrum/base/logger.js';
import type {LogRecord} from '@banyandrum/log/client.js';
import type {TailPage} from '@banyandrum/log/tail.js';
import {decodeRecord} from './codec.js';
import type {DecodedRecord} from './codec.js';
import {EMPTY_STATE, applyDecoded} from './fold.js';
import {createCatchUp} from './catch-up.js';
import type {CatchUp} from './catch-up.js';
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
  let isWaiting = false;
  let catchUp: CatchUp | null = createCatchUp(EMPTY_STATE.next);

  const move = (next: ClusterState): void => {
    if (next.next > state.next) state = next;
  };

  const applyAll = (records: readonly LogRecord[]): Promise<void> =>
    inTurns(records, ({offset, data}) => {
      const decoded = decodeRecord(data);
      move(applyDecoded(state, offset, decoded));
      onRecord(offset, decoded, state);
    });

  /** At the log's end: goes on from the newest state without a gap. */
  const endCatchUp = async (ending: CatchUp): Promise<void> => {
    const base = ending.base(state);
    if (base === null) {
      if (!isWaiting) log.warn('waiting for a snapshot', {next: state.next});
      isWaiting = true;
      return;
    }
    catchUp = null;
    isWaiting = false;
    move(base);
    await applyAll(ending.records());
    log.info('caught up with the log', {base: base.next, next: state.next});
  };

  return {
    current: () => state,
    confirmedAt: () => confirmedAt,
    async takePage({page, confirmedAt: at}) {
      const before = state;
      if (catchUp === null) await applyAll(page.records);
      else await inTurns(page.records, catchUp.push);
      if (catchUp !== null && at !== null) await endCatchUp(catchUp);
      // Without the records that expired, or told of an end other than what
      // it has read up to, this reader must not count as having read all: a
      // leader would go on though the log names another.
      const isWhole = catchUp === null && page.end === state.next;
      if (at !== null && isWhole) confirmedAt = at;
      if (state !== before) onMoved(state);
    },
    takeExpired(first) {
      log.warn('records expired', {first, next: state.next});
      const from = Math.max(first, state.next);
      catchUp = createCatchUp(from);
      return from;
    },
    adopt(adopted) {
      if (adopted.next <= state.next) return false;
      state = adopted;
      onMoved(state);
      return true;
    },
  };
}

/** Gives other tasks a turn now and then: leases are renewed meanwhile. */
async function inTurns(
  records: readonly LogRecord[],
  task: (record: LogRecord) => void,
): Promise<void> {
  let bytes = 0;
  for (const record of records) {
    task(record);
    bytes += record.data.byteLength;
    if (bytes < BYTES_IN_A_TURN) continue;
    bytes = 0;
    await new Promise(resolve => setImmediate(resolve));
  }
}
