import {createClock, sleep, type Clock} from '@banyandrum/base/clock.js';
import type {Offset} from '@banyandrum/base/ids.js';
import type {LogPage, LogRecord} from '@banyandrum/log/client.js';
import {z} from 'zod';
import {
  createFaultyListener,
  jsonReply,
  type DownMode,
  type FaultyListener,
  type StandinReply,
  type StandinRequest,
} from './faulty-listener.js';
import {
  NO_LOG_FAULTS,
  type AppendFault,
  type LogFaults,
  type ReadFault,
} from './log-faults.js';
import {createLogControl} from './log-control.js';
import {createLogStore} from './log-store.js';

export interface LogStandinOptions {
  readonly clock?: Clock;
  /** The most bytes of records in one page. */
  readonly maxPageBytes?: number;
  readonly faults?: Partial<LogFaults>;
  /** Called for each whole request as it arrives, so that tests can wait. */
  readonly onRequest?: (req: StandinRequest) => void;
}

/** One more way to the same log, that can be cut on its own. */
export interface LogDoor {
  readonly address: string;
  setDown(mode: DownMode): Promise<void>;
}

/** The platform's log, in memory, with faults that switch at run time. */
export interface LogStandin {
  /** `127.0.0.1:port` of the log itself. */
  readonly address: string;
  /**
   * `127.0.0.1:port` for control from other processes, also while the log is
   * down. All bodies are JSON.
   *
   * - `POST /standin/faults` with some fields of `LogFaults` → all of them.
   * - `POST /standin/doors` → `{"address": ...}` of a new door.
   * - `POST /standin/doors/{address}` with `{"down": mode}`.
   */
  readonly controlAddress: string;
  faults(): LogFaults;
  /** Changes the named faults and leaves the others. */
  setFaults(change: Partial<LogFaults>): Promise<void>;
  clearFaults(): Promise<void>;
  /**
   * Opens one more address, so that a client of its own can be split from the
   * log while the others reach it.
   */
  openDoor(): Promise<LogDoor>;
  /** Appends past every fault. */
  append(stream: string, data: Uint8Array): Offset;
  records(stream: string): readonly LogRecord[];
  /** Drops every record of the stream below `first`. */
  expire(stream: string, first: Offset): void;
  close(): Promise<void>;
}

const DEFAULT_MAX_PAGE_BYTES = 4 * 1024 * 1024;
const MAX_WAIT_MS = 30_000;
/** Just beyond what the clients accept unless told otherwise. */
const OVERSIZE_BYTES = 17 * 1024 * 1024;
const RECORDS_PATH = /^\/v1\/streams\/([^/]+)\/records$/;

const READ_QUERY = z.object({
  from: z.coerce.number().int().positive(),
  max: z.coerce.number().int().positive(),
  waitMs: z.coerce.number().nonnegative().max(MAX_WAIT_MS).default(0),
});

/**
 * Starts a log on a free port of 127.0.0.1.
 *
 * @example
 * ```ts
 * const log = await createLogStandin();
 * await log.setFaults({append: 'lost-reset', appendCount: 1});
 * await log.close();
 * ```
 */
export async function createLogStandin(
  options: LogStandinOptions = {},
): Promise<LogStandin> {
  const clock = options.clock ?? createClock();
  const store = createLogStore(
    clock,
    options.maxPageBytes ?? DEFAULT_MAX_PAGE_BYTES,
  );
  let faults: LogFaults = {...NO_LOG_FAULTS, ...options.faults};

  const takeAppendFault = (): AppendFault => {
    const {append, appendCount} = faults;
    if (append === 'none' || appendCount === null) return append;
    const left = appendCount - 1;
    faults = {
      ...faults,
      append: left === 0 ? 'none' : append,
      appendCount: left === 0 ? null : left,
    };
    return append;
  };

  const append = async (
    stream: string,
    data: Uint8Array,
  ): Promise<StandinReply> => {
    if (data.byteLength > faults.maxRecordBytes) return jsonReply(413, {});
    const fault = takeAppendFault();
    if (fault === 'refused') return jsonReply(503, {});
    if (faults.applyDelayMs > 0) await sleep(clock, faults.applyDelayMs);
    const offset = store.append(stream, data);
    return APPEND_REPLIES[fault](offset);
  };

  const read = async (stream: string, url: URL): Promise<StandinReply> => {
    const query = READ_QUERY.safeParse(Object.fromEntries(url.searchParams));
    if (!query.success) return jsonReply(400, {});
    const {from, max, waitMs} = query.data;
    await store.waitFor(stream, from, waitMs);
    const page = store.read(stream, from, max);
    if (from < page.first) return jsonReply(410, {first: page.first});
    return READ_REPLIES[faults.read](page);
  };

  const handle = async (req: StandinRequest): Promise<StandinReply> => {
    const stream = RECORDS_PATH.exec(req.url.pathname)?.[1];
    if (stream === undefined) return jsonReply(404, {});
    options.onRequest?.(req);
    const reply =
      req.method === 'POST'
        ? await append(stream, req.body)
        : await read(stream, req.url);
    if (faults.delayMs > 0) await sleep(clock, faults.delayMs);
    return reply;
  };

  const listener = await createFaultyListener(handle);

  const setFaults = async (change: Partial<LogFaults>): Promise<void> => {
    faults = {...faults, ...change};
    store.keep(faults.keepRecords);
    await listener.setDown(faults.down);
  };

  const doors = new Map<string, FaultyListener>();
  const openDoor = async (): Promise<LogDoor> => {
    const door = await createFaultyListener(handle);
    doors.set(door.address, door);
    return door;
  };

  const control = await createLogControl({
    setFaults,
    faults: () => faults,
    openDoor,
    door: address => doors.get(address),
  });

  await setFaults({});
  return {
    address: listener.address,
    controlAddress: control.address,
    faults: () => faults,
    setFaults,
    clearFaults: () => setFaults(NO_LOG_FAULTS),
    openDoor,
    append: (stream, data) => store.append(stream, data),
    records: stream => store.all(stream),
    expire: (stream, first) => store.expire(stream, first),
    async close() {
      const open = [listener, control, ...doors.values()];
      await Promise.all(open.map(one => one.close()));
    },
  };
}

const APPEND_REPLIES: Readonly<
  Record<Exclude<AppendFault, 'refused'>, (offset: Offset) => StandinReply>
> = {
  none: offset => jsonReply(201, {offset}),
  'lost-reset': () => ({kind: 'reset'}),
  'lost-hang': () => ({kind: 'hang'}),
  'lost-500': () => jsonReply(500, {}),
};

const READ_REPLIES: Readonly<
  Record<ReadFault, (page: LogPage) => StandinReply>
> = {
  none: page => jsonReply(200, toJson(page)),
  junk: () => ({kind: 'text', status: 200, text: '<html>\u0000{"first'}),
  'wrong-shape': page => jsonReply(200, {...page, end: 'soon'}),
  gap: page =>
    jsonReply(200, toJson({...page, records: page.records.slice(1)})),
  cut: page => ({
    kind: 'cut',
    status: 200,
    text: JSON.stringify(toJson(page)),
  }),
  oversize: page => ({
    kind: 'text',
    status: 200,
    text: JSON.stringify(toJson(page)) + ' '.repeat(OVERSIZE_BYTES),
  }),
  failed: () => jsonReply(500, {}),
};

function toJson(page: LogPage): unknown {
  const records = page.records.map(({offset, data}) => ({
    offset,
    data: Buffer.from(data).toString('base64'),
  }));
  return {first: page.first, end: page.end, records};
}
