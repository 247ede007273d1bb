import {sleep, type Clock} from '@banyandrum/base/clock.js';
import type {Offset} from '@banyandrum/base/ids.js';
import type {Logger} from '@banyandrum/base/logger.js';
import {createBackoff} from './backoff.js';
import type {LogClient, LogPage} from './client.js';

/** What one successful read yielded. */
export interface TailPage {
  readonly page: LogPage;
  /**
   * Monotonic time at which the read was sent, where the page reaches the
   * log's end; else null. Whoever has applied the page then knows every
   * record that was appended before that time.
   */
  readonly confirmedAt: number | null;
}

export interface TailOptions {
  readonly client: LogClient;
  /** The first offset wanted. */
  readonly from: Offset;
  /** Applies a page; the next read waits for it. */
  readonly onPage: (page: TailPage) => void | Promise<void>;
  /**
   * Told that records below `first` are gone before they were read; returns
   * the offset to go on from, at least `first`. What the lost records said is
   * unknown: the state must come anew, from a snapshot, before the next page
   * counts as a confirmation.
   */
  readonly onExpired: (first: Offset) => Offset | Promise<Offset>;
  readonly clock: Clock;
  /**
   * How long the log may hold back a read, in ms. The newest confirmation is
   * up to twice this old, and twice the log's own latency on top.
   */
  readonly waitMs: number;
  /** Ends the tail. */
  readonly signal: AbortSignal;
  readonly log: Logger;
  readonly maxRecords?: number;
  /** Patience with an answer beyond `waitMs`, in ms; grows while it fails. */
  readonly minTimeoutMs?: number;
  readonly maxTimeoutMs?: number;
  /** Bounds of the pause after a failure, in ms. */
  readonly firstPauseMs?: number;
  readonly maxPauseMs?: number;
  /** From 0 to below 1, as `Math.random`. */
  readonly random?: () => number;
}

const DEFAULT_MAX_RECORDS = 256;
const DEFAULT_MIN_TIMEOUT_MS = 1000;
const DEFAULT_MAX_TIMEOUT_MS = 5000;
const DEFAULT_FIRST_PAUSE_MS = 100;
const DEFAULT_MAX_PAUSE_MS = 2000;

/**
 * Reads the log from an offset on until the signal aborts: by long polls at
 * its end, page after page while it catches up, with pauses while it fails.
 * Rejects only with what a callback threw.
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
  const patience = createPatience(
    options.minTimeoutMs ?? DEFAULT_MIN_TIMEOUT_MS,
    options.maxTimeoutMs ?? DEFAULT_MAX_TIMEOUT_MS,
  );
  const backoff = createBackoff({
    firstMs: options.firstPauseMs ?? DEFAULT_FIRST_PAUSE_MS,
    capMs: options.maxPauseMs ?? DEFAULT_MAX_PAUSE_MS,
    random: options.random ?? Math.random,
  });
  let from = options.from;
  let failing = false;

  const handlers: OutcomeHandlers = {
    stopped: async () => {},
    expired: async ({first}) => {
      log.warn('records expired before they were read', {from, first});
      from = Math.max(first, await options.onExpired(first));
    },
    failed: async ({detail, timedOut}) => {
      // Once for each outage: a line for each retry would bury the rest.
      if (!failing) log.warn('log unreadable', {from, detail});
      failing = true;
      if (timedOut) patience.lengthen();
      await sleep(clock, backoff.next(), signal);
    },
    page: async ({page, sentAt, latencyMs}) => {
      if (failing) log.info('log readable again', {from, end: page.end});
      failing = false;
      backoff.reset();
      patience.shorten(latencyMs);
      from += page.records.length;
      const confirmedAt = from === page.end ? sentAt : null;
      await options.onPage({page, confirmedAt});
    },
  };

  while (!signal.aborted) {
    const outcome = await readOnce(options, from, patience.timeoutMs());
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
      /** How long the answer took beyond what it was told to wait, in ms. */
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
    // The log has lost its newest records, or a stale copy answered. As a
    // confirmation it would let a deposed leader go on, so it counts as a
    // failure until the end is back.
    const detail = `end ${read.val.end} lies below ${from}`;
    return {kind: 'failed', detail, timedOut: false};
  }
  if (read.ok) return {kind: 'page', page: read.val, sentAt, latencyMs};
  const {kind, first, detail} = read.val;
  if (kind === 'expired' && first !== undefined) return {kind, first};
  return {kind: 'failed', detail, timedOut: latencyMs >= timeoutMs};
}

interface Patience {
  timeoutMs(): number;
  lengthen(): void;
  shorten(latencyMs: number): void;
}

/**
 * How long to wait for an answer. A short time-out finds a silent connection
 * early; but with a fixed one, a log that stays slower than it would never be
 * read. So it doubles with each time-out, and shrinks again once answers come
 * in well below it.
 */
function createPatience(minMs: number, maxMs: number): Patience {
  let timeoutMs = minMs;
  return {
    timeoutMs: () => timeoutMs,
    lengthen() {
      timeoutMs = Math.min(maxMs, timeoutMs * 2);
    },
    shorten(latencyMs) {
      if (latencyMs >= timeoutMs / 4) return;
      timeoutMs = Math.max(minMs, timeoutMs / 2);
    },
  };
}
