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
  /** Timeout of a call, in ms; that of a read is longer by its `waitMs`. */
  readonly timeoutMs: number;
  /** Larger records are rejected without sending them. */
  readonly maxRecordBytes: number;
  /** Maximum size of a response; a larger one is an error. */
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
 * Creates an HTTP client of the platform's log.
 *
 * A failed append is `unavailable` only if it was certainly not applied: no
 * connection was opened, or the log responded with 503. Any other failure is
 * `unknown`, and the caller must read before it appends again.
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
        // Large records may exceed the limit together, though none does alone.
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
  // With a gap in the page, the reader would miss a record and still consider
  // itself up to date.
  const consecutive = records.every(({offset}, i) => offset === from + i);
  const next = from + records.length;
  const isStuck = end > from && next === from;
  if (!consecutive || isStuck || first > from || next > Math.max(end, from)) {
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
