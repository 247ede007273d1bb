import {sleep, type Clock} from '@banyandrum/base/clock.js';
import type {Offset} from '@banyandrum/base/ids.js';
import type {Logger} from '@banyandrum/base/logger.js';
import {createBackoff} from './backoff.js';
import type {LogClient, LogPage} from './client.js';

/** Result of a successful read. */
export interface TailPage {
  readonly page: LogPage;
  /**
   * Monotonic time at which the read was sent, in ms, if the page reaches the
   * end of the log; else null. With the page, the reader has every record that
   * was appended before that time.
   */
  readonly confirmedAt: number | null;
}

export interface TailOptions {
  readonly client: LogClient;
  /** The first offset to read. */
  readonly from: Offset;
  /** Applies a page; the next read starts after it resolves. */
  readonly onPage: (page: TailPage) => void | Promise<void>;
  /**
   * Called if records below `first` were deleted before they were read.
   * Returns the offset to continue at, which is at least `first`. The state
   * must be loaded from a snapshot, because the deleted records are unknown.
   */
  readonly onExpired: (first: Offset) => Offset | Promise<Offset>;
  readonly clock: Clock;
  /**
   * Maximum time that the log waits for a record, in ms. The age of the last
   * confirmation is at most twice this plus twice the latency of the log.
   */
  readonly waitMs: number;
  /** Stops reading. */
  readonly signal: AbortSignal;
  readonly log: Logger;
  readonly maxRecords?: number;
  /** Range of the timeout in addition to `waitMs`, in ms. */
  readonly minTimeoutMs?: number;
  readonly maxTimeoutMs?: number;
  /** Range of the delay after a failure, in ms. */
  readonly firstPauseMs?: number;
  readonly maxPauseMs?: number;
  /** Returns numbers from 0 to below 1, as `Math.random` does. */
  readonly random?: () => number;
}

const DEFAULT_MAX_RECORDS = 256;
const DEFAULT_MIN_TIMEOUT_MS = 1000;
const DEFAULT_MAX_TIMEOUT_MS = 5000;
const DEFAULT_FIRST_PAUSE_MS = 100;
const DEFAULT_MAX_PAUSE_MS = 2000;

/**
 * Reads the log from an offset on until the signal aborts: page by page until
 * it has caught up, then by long polls. After a failure it retries with backoff.
 * Rejects only if a callback throws.
 *
 * @example
 * ```ts
 * await runTail({
 *   client, from: 1, clock, signal, log, waitMs: 250,
 *   onPage: ({page, confirmedAt}) => apply(page.records, confirmedAt),
 *   onExpired: first => first,
 * });
 * ```
 */
export async function runTail(options: TailOptions): Promise<void> {
  const {clock, signal, log} = options;
  const readTimeout = createReadTimeout(
    options.minTimeoutMs ?? DEFAULT_MIN_TIMEOUT_MS,
    options.maxTimeoutMs ?? DEFAULT_MAX_TIMEOUT_MS,
  );
  const backoff = createBackoff({
    firstMs: options.firstPauseMs ?? DEFAULT_FIRST_PAUSE_MS,
    capMs: options.maxPauseMs ?? DEFAULT_MAX_PAUSE_MS,
    random: options.random ?? Math.random,
  });
  let from = options.from;
  let isFailing = false;

  const handlers: OutcomeHandlers = {
    stopped: async () => {},
    expired: async ({first}) => {
      log.warn('records expired before they were read', {from, first});
      from = Math.max(first, await options.onExpired(first));
    },
    failed: async ({detail, timedOut}) => {
      // Logged once per outage instead of once per retry.
      if (!isFailing) log.warn('log unreadable', {from, detail});
      isFailing = true;
      if (timedOut) readTimeout.increase();
      await sleep(clock, backoff.next(), signal);
    },
    page: async ({page, sentAt, latencyMs}) => {
      if (isFailing) log.info('log readable again', {from, end: page.end});
      isFailing = false;
      backoff.reset();
      readTimeout.decrease(latencyMs);
      from += page.records.length;
      const confirmedAt = from === page.end ? sentAt : null;
      await options.onPage({page, confirmedAt});
    },
  };

  while (!signal.aborted) {
    const outcome = await readOnce(options, from, readTimeout.currentMs());
    await handle(handlers, outcome);
  }
}

type Outcome =
  | {readonly kind: 'stopped'}
  | {readonly kind: 'expired'; readonly first: Offset}
  | {
      readonly kind: 'failed';
      readonly detail: string;
      readonly timedOut: boolean;
    }
  | {
      readonly kind: 'page';
      readonly page: LogPage;
      readonly sentAt: number;
      /** Time to the response beyond the requested wait, in ms. */
      readonly latencyMs: number;
    };

type OutcomeHandlers = {
  readonly [K in Outcome['kind']]: (
    outcome: Extract<Outcome, {kind: K}>,
  ) => Promise<void>;
};

function handle(handlers: OutcomeHandlers, outcome: Outcome): Promise<void> {
  const handler = handlers[outcome.kind] as (out: Outcome) => Promise<void>;
  return handler(outcome);
}

async function readOnce(
  options: TailOptions,
  from: Offset,
  timeoutMs: number,
): Promise<Outcome> {
  const {client, clock, waitMs, signal} = options;
  const maxRecords = options.maxRecords ?? DEFAULT_MAX_RECORDS;
  const sentAt = clock.now();
  const read = await client.read({from, maxRecords, waitMs, timeoutMs}, signal);
  if (signal.aborted) return {kind: 'stopped'};
  const latencyMs = clock.now() - sentAt - waitMs;
  if (read.ok && read.val.end < from) {
    // The log lost its newest records, or an outdated replica responded. If it
    // counted as a confirmation, a replaced leader could continue to act.
    const detail = `end ${read.val.end} lies below ${from}`;
    return {kind: 'failed', detail, timedOut: false};
  }
  if (read.ok) return {kind: 'page', page: read.val, sentAt, latencyMs};
  const {kind, first, detail} = read.val;
  if (kind === 'expired' && first !== undefined) return {kind, first};
  return {kind: 'failed', detail, timedOut: latencyMs >= timeoutMs};
}

/** An adaptive timeout. */
interface ReadTimeout {
  currentMs(): number;
  /** Called after a timeout. */
  increase(): void;
  /** Called after a response. */
  decrease(latencyMs: number): void;
}

/**
 * Creates a timeout that doubles after each timeout and is halved after each
 * response well below it. A short timeout detects a dead connection early, but
 * with a fixed one, a log that is slower could never be read.
 */
function createReadTimeout(minMs: number, maxMs: number): ReadTimeout {
  let timeoutMs = minMs;
  return {
    currentMs: () => timeoutMs,
    increase() {
      timeoutMs = Math.min(maxMs, timeoutMs * 2);
    },
    decrease(latencyMs) {
      if (latencyMs >= timeoutMs / 4) return;
      timeoutMs = Math.max(minMs, timeoutMs / 2);
    },
  };
}
