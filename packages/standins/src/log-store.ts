import type {Clock} from '@banyandrum/base/clock.js';
import type {Offset} from '@banyandrum/base/ids.js';
import type {LogPage, LogRecord} from '@banyandrum/log/client.js';

/** The records of the log stand-in, in memory, by stream. */
export interface LogStore {
  append(stream: string, data: Uint8Array): Offset;
  /** A page from `from`, which may lie below its `first`. */
  read(stream: string, from: Offset, maxRecords: number): LogPage;
  /** Resolves when the stream reaches past `from`, or after `waitMs`. */
  waitFor(stream: string, from: Offset, waitMs: number): Promise<void>;
  /** Drops every record below `first`. */
  expire(stream: string, first: Offset): void;
  /** Keeps only the newest `count` records of each stream; null keeps all. */
  keep(count: number | null): void;
  all(stream: string): readonly LogRecord[];
}

interface Stream {
  first: Offset;
  readonly records: LogRecord[];
  readonly waiters: Set<() => void>;
}

const FIRST_OFFSET = 1;

/**
 * Makes an empty store.
 *
 * @example
 * ```ts
 * const store = createLogStore(createClock(), 1 << 20);
 * store.append('main', data); // 1
 * ```
 */
export function createLogStore(clock: Clock, maxPageBytes: number): LogStore {
  const streams = new Map<string, Stream>();
  let keepCount: number | null = null;

  const open = (name: string): Stream => {
    const found = streams.get(name);
    if (found !== undefined) return found;
    const made: Stream = {
      first: FIRST_OFFSET,
      records: [],
      waiters: new Set(),
    };
    streams.set(name, made);
    return made;
  };

  return {
    append(name, data) {
      const stream = open(name);
      const offset = endOf(stream);
      stream.records.push({offset, data});
      if (keepCount !== null) dropBelow(stream, offset + 1 - keepCount);
      for (const wake of [...stream.waiters]) wake();
      return offset;
    },
    read(name, from, maxRecords) {
      const stream = open(name);
      const wanted = stream.records.slice(
        Math.max(0, from - stream.first),
        Math.max(0, from - stream.first) + maxRecords,
      );
      const records = withinBytes(wanted, maxPageBytes);
      return {first: stream.first, end: endOf(stream), records};
    },
    waitFor(name, from, waitMs) {
      const stream = open(name);
      if (endOf(stream) > from || waitMs <= 0) return Promise.resolve();
      return new Promise(resolve => {
        const wake = (): void => {
          cancel();
          stream.waiters.delete(wake);
          resolve();
        };
        const cancel = clock.after(waitMs, wake);
        stream.waiters.add(wake);
      });
    },
    expire(name, first) {
      dropBelow(open(name), first);
    },
    keep(count) {
      keepCount = count;
      if (count === null) return;
      for (const stream of streams.values()) {
        dropBelow(stream, endOf(stream) - count);
      }
    },
    all: name => [...open(name).records],
  };
}

function endOf(stream: Stream): Offset {
  return stream.first + stream.records.length;
}

function dropBelow(stream: Stream, first: Offset): void {
  const target = Math.min(first, endOf(stream));
  if (target <= stream.first) return;
  stream.records.splice(0, target - stream.first);
  stream.first = target;
}

/** The first records that fit; at least one, or a reader would never move. */
function withinBytes(
  records: readonly LogRecord[],
  maxBytes: number,
): readonly LogRecord[] {
  let bytes = 0;
  const cut = records.findIndex((record, index) => {
    bytes += record.data.byteLength;
    return index > 0 && bytes > maxBytes;
  });
  return cut === -1 ? records : records.slice(0, cut);
}
