import type {Clock} from '@banyandrum/base/clock.js';
import {Err, Ok, type Result} from '@banyandrum/base/result.js';
import {z} from 'zod';
import type {LogClient, LogError, LogPage, ReadOptions} from './client.js';
import {createConnections} from './connections.js';
import type {Exchange} from './exchange.js';

export interface LogClientOptions {
  /** `ip:port` of the log. */
  readonly address: string;
  readonly stream: string;
  /** How long a call may take; a read has its `waitMs` besides. */
  readonly timeoutMs: number;
  /** Records larger than this are refused before anything is sent. */
  readonly maxRecordBytes: number;
  /** The largest answer accepted; more is an error. */
  readonly maxAnswerBytes?: number;
  readonly clock?: Clock;
}

const OFFSET = z.int().positive();
const APPENDED = z.object({offset: OFFSET});
const EXPIRED = z.object({first: OFFSET});
const PAGE = z.object({
  first: OFFSET,
  end: OFFSET,
  records: z.array(z.object({offset: OFFSET, data: z.base64()})),
});

/**
 * A client of the platform's log over HTTP.
 *
 * An append that fails is `unavailable` only where it is proved that nothing
 * was applied: no connection came about, or the log said `503`. Everything
 * else is `unknown`: the caller reads back before it appends again.
 *
 * @example
 * ```ts
 * const client = createLogClient({
 *   address: '127.0.0.1:9000',
 *   stream: 'main',
 *   timeoutMs: 1000,
 *   maxRecordBytes: 1 << 20,
 * });
 * const appended = await client.append(data);
 * ```
 */
export function createLogClient(options: LogClientOptions): LogClient {
  const connections = createConnections(options);
  const path = `/v1/streams/${encodeURIComponent(options.stream)}/records`;

  const get = (
    {from, maxRecords, waitMs, timeoutMs}: ReadOptions,
    signal: AbortSignal | undefined,
  ): Promise<Exchange> =>
    connections.exchange({
      method: 'GET',
      path: `${path}?from=${from}&max=${maxRecords}&waitMs=${waitMs}`,
      timeoutMs: waitMs + (timeoutMs ?? options.timeoutMs),
      signal,
    });

  return {
    async append(data, signal) {
      if (data.byteLength > options.maxRecordBytes) {
        return fail('too-large', `record of ${data.byteLength} bytes`);
      }
      const exchanged = await connections.exchange({
        method: 'POST',
        path,
        body: data,
        timeoutMs: options.timeoutMs,
        signal,
      });
      return appendResult(exchanged);
    },
    async read(wanted, signal) {
      for (let max = wanted.maxRecords; ; max = Math.ceil(max / 2)) {
        const exchanged = await get({...wanted, maxRecords: max}, signal);
        // Large records together may exceed the bound though each is within.
        if (!isOversize(exchanged) || max <= 1) {
          return readResult(exchanged, wanted.from);
        }
      }
    },
    close: () => connections.close(),
  };
}

function appendResult(exchanged: Exchange): Result<number, LogError> {
  if (exchanged.kind === 'failed') {
    const unsent = exchanged.reason === 'unsent';
    return fail(unsent ? 'unavailable' : 'unknown', exchanged.detail);
  }
  const {status} = exchanged;
  if (status === 413) return fail('too-large', 'refused by the log');
  if (status === 503) return fail('unavailable', 'refused by the log');
  if (status !== 201) return fail('unknown', `status ${status}`);
  const parsed = APPENDED.safeParse(parseJson(exchanged.body));
  if (!parsed.success) return fail('unknown', 'malformed answer');
  return Ok(parsed.data.offset);
}

function readResult(
  exchanged: Exchange,
  from: number,
): Result<LogPage, LogError> {
  if (exchanged.kind === 'failed') {
    return fail('unavailable', exchanged.detail);
  }
  const {status} = exchanged;
  const json = parseJson(exchanged.body);
  if (status === 410) return expiredResult(json, from);
  if (status !== 200) return fail('unavailable', `status ${status}`);
  const parsed = PAGE.safeParse(json);
  if (!parsed.success) return fail('unavailable', 'malformed page');
  const {first, end, records} = parsed.data;
  // A page with a hole would lose a record for good and let the reader count
  // as up to date; so a page counts only if its records follow one another.
  const consecutive = records.every(({offset}, i) => offset === from + i);
  const next = from + records.length;
  const stuck = end > from && next === from;
  if (!consecutive || stuck || first > from || next > Math.max(end, from)) {
    return fail('unavailable', 'page with a hole');
  }
  return Ok({
    first,
    end,
    records: records.map(({offset, data}) => ({
      offset,
      data: Buffer.from(data, 'base64'),
    })),
  });
}

function isOversize(exchanged: Exchange): boolean {
  return exchanged.kind === 'failed' && exchanged.reason === 'oversize';
}

function expiredResult(json: unknown, from: number): Result<LogPage, LogError> {
  const parsed = EXPIRED.safeParse(json);
  if (!parsed.success || parsed.data.first <= from) {
    return fail('unavailable', 'malformed answer');
  }
  const {first} = parsed.data;
  const detail = `records below ${first} have expired`;
  return Err({kind: 'expired', detail, first});
}

function fail(kind: LogError['kind'], detail: string): Result<never, LogError> {
  return Err({kind, detail});
}

function parseJson(body: string): unknown {
  try {
    return JSON.parse(body) as unknown;
  } catch {
    return undefined;
  }
}
