import {sleep} from '@banyandrum/base/clock.js';
import type {Clock} from '@banyandrum/base/clock.js';
import {Err, Ok} from '@banyandrum/base/result.js';
import type {Result} from '@banyandrum/base/result.js';
import type {
  LogClient,
  LogError,
  LogPage,
  LogRecord,
} from '@banyandrum/log/client.js';

/** A log in memory, with switches for its faults. */
export interface MemoryLog {
  /** Refuses all calls. */
  isDown: boolean;
  /** Applies appends, but their replies are lost. */
  losesReplies: boolean;
  /** Loses appends and their replies alike. */
  losesAppends: boolean;
  append(data: Uint8Array): number;
  expire(first: number): void;
  records(): readonly LogRecord[];
  client(): LogClient;
}

/** Makes an empty log; a read at its end waits on `clock`. */
export function createMemoryLog(clock: Clock): MemoryLog {
  let first = 1;
  const records: LogRecord[] = [];
  const wakers = new Set<() => void>();
  const end = (): number => (records.at(-1)?.offset ?? first - 1) + 1;

  const log: MemoryLog = {
    isDown: false,
    losesReplies: false,
    losesAppends: false,
    append(data) {
      const offset = end();
      records.push({offset, data});
      for (const wake of wakers) wake();
      return offset;
    },
    expire(newFirst) {
      while (records.length > 0 && records[0]!.offset < newFirst) {
        records.shift();
      }
      first = newFirst;
    },
    records: () => records,
    client: () => ({append, read, close: async () => {}}),
  };

  async function append(data: Uint8Array): Promise<Result<number, LogError>> {
    if (log.isDown) return Err({kind: 'unavailable', detail: 'refused'});
    const lost: LogError = {kind: 'unknown', detail: 'no reply'};
    if (log.losesAppends) return Err(lost);
    const offset = log.append(data);
    return log.losesReplies ? Err(lost) : Ok(offset);
  }

  async function read(
    {from, maxRecords, waitMs}: Parameters<LogClient['read']>[0],
    signal?: AbortSignal,
  ): Promise<Result<LogPage, LogError>> {
    if (log.isDown) return Err({kind: 'unavailable', detail: 'refused'});
    if (from >= end()) await waitForRecord(waitMs, signal);
    if (log.isDown) return Err({kind: 'unavailable', detail: 'refused'});
    if (from < first) return Err({kind: 'expired', detail: 'gone', first});
    const wanted = records.filter(record => record.offset >= from);
    return Ok({first, end: end(), records: wanted.slice(0, maxRecords)});
  }

  async function waitForRecord(
    waitMs: number,
    signal: AbortSignal | undefined,
  ): Promise<void> {
    const woken = new AbortController();
    const wake = (): void => woken.abort();
    wakers.add(wake);
    signal?.addEventListener('abort', wake);
    await sleep(clock, waitMs, woken.signal);
    signal?.removeEventListener('abort', wake);
    wakers.delete(wake);
  }

  return log;
}
