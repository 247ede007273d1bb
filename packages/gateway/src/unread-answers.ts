import type {ServerResponse} from 'node:http';
import type {Clock} from '@banyandrum/base/clock.js';
import type {Emit} from '@banyandrum/dispatch/events.js';

/** A caller's connection. */
export interface AnswerConnection {
  /** Bytes that were written and not taken by the operating system. */
  readonly writableLength?: number;
  once(event: 'close', listener: () => void): unknown;
  destroy(): unknown;
}

/** An answer that its caller has not read completely. */
export interface UnreadAnswer {
  /** A part of the answer was handed to the operating system. */
  noteProgress(): void;
  /** The whole answer was. */
  finish(): void;
}

/** Limits for answers that callers don't read. */
export interface UnreadAnswersLimits {
  /** Longest time without progress, in ms. */
  readonly maxMs: number;
  /** Limit of all unread answers together, in bytes. */
  readonly maxBytes: number;
}

/** The answers that callers have not read, over all connections. */
export interface UnreadAnswers {
  add(connection: AnswerConnection, bytes: number): UnreadAnswer;
  /** Size of all unread answers, in bytes. */
  bytes(): number;
  /** Size of those of one connection, in bytes. */
  bytesOf(connection: AnswerConnection): number;
  /** Number of connections with unread answers. */
  connections(): number;
  /** Number of connections closed for their unread answers so far. */
  closed(): number;
  stop(): void;
}

/** Dependencies of the limits. */
export interface UnreadAnswersConfig {
  readonly clock: Clock;
  readonly emit: Emit;
  readonly limits: UnreadAnswersLimits;
}

/** Interval between checks while there are unread answers, in ms. */
const CHECK_MS = 500;
/** Shortest interval between checks while the limit is exceeded, in ms. */
const MIN_CHECK_MS = 25;
/**
 * Time without progress below which a connection is not closed for its size
 * either, in ms. A caller on a busy network may take as long to read more.
 */
const MIN_STALL_MS = 500;
/**
 * Beyond this multiple of the limit, the time without progress that protects a
 * connection is much shorter: on a fast network, answers arrive at more than
 * 100 MB per second.
 */
const HARD_LIMIT_FACTOR = 2;
const MIN_HARD_STALL_MS = 50;
/** Memory that an unread answer takes apart from its body, in bytes. */
const OVERHEAD_BYTES = 4_096;

/** What one connection holds. */
interface Holding {
  readonly connection: AnswerConnection;
  bytes: number;
  answers: number;
  /** Monotonic time of its last progress, in ms. */
  progressAt: number;
}

type Reason = 'time' | 'bytes';

/**
 * Limits the answers that callers don't read: a caller that sends requests and
 * reads nothing would otherwise make the router hold all of its answers, until
 * no memory is left for other callers. A connection is closed after a time
 * without progress. While all connections hold too much, those with the highest
 * product of bytes and time without progress are closed first.
 *
 * @example
 * ```ts
 * const unread = createUnreadAnswers({clock, emit, limits});
 * const answer = unread.add(req.socket, body.length);
 * res.once('finish', answer.finish);
 * ```
 */
export function createUnreadAnswers(cfg: UnreadAnswersConfig): UnreadAnswers {
  const {clock, emit, limits} = cfg;
  const holdings = new Map<AnswerConnection, Holding>();
  /** Connections whose end is noticed. */
  const observed = new WeakSet<AnswerConnection>();
  let totalBytes = 0;
  let closedCount = 0;
  let checkedAt = -Infinity;
  let cancelCheck: (() => void) | null = null;

  const stallMs = (holding: Holding): number => {
    // An answer that waits behind an unanswered request is not the caller's fault.
    const isCallerDue = holding.connection.writableLength !== 0;
    if (!isCallerDue) holding.progressAt = clock.now();
    return clock.now() - holding.progressAt;
  };

  const forget = (connection: AnswerConnection): void => {
    const holding = holdings.get(connection);
    if (holding === undefined) return;
    holdings.delete(connection);
    totalBytes -= holding.bytes;
  };

  const close = (closing: readonly Holding[], why: Reason): void => {
    if (closing.length === 0) return;
    const bytes = closing.reduce((sum, each) => sum + each.bytes, 0);
    const longestMs = Math.round(Math.max(...closing.map(stallMs)));
    closedCount += closing.length;
    for (const {connection} of closing) {
      forget(connection);
      connection.destroy();
    }
    emit('unread-closed', {
      ...{why, connections: closing.length, bytes, longestMs},
      ...{left: holdings.size, leftBytes: totalBytes},
    });
  };

  const closeStalled = (): void => {
    const stalled = [...holdings.values()].filter(
      holding => stallMs(holding) >= limits.maxMs,
    );
    close(stalled, 'time');
  };

  const closeLargest = (maxBytes: number, minStallMs: number): void => {
    if (totalBytes <= maxBytes) return;
    const cost = (holding: Holding): number => holding.bytes * stallMs(holding);
    const candidates = [...holdings.values()]
      .filter(holding => stallMs(holding) >= minStallMs)
      .sort((a, b) => cost(b) - cost(a));
    let excess = totalBytes - maxBytes;
    const closing = candidates.filter(({bytes}) => {
      const isNeeded = excess > 0;
      if (isNeeded) excess -= bytes;
      return isNeeded;
    });
    close(closing, 'bytes');
  };

  const check = (): void => {
    checkedAt = clock.now();
    closeStalled();
    closeLargest(limits.maxBytes, MIN_STALL_MS);
    closeLargest(limits.maxBytes * HARD_LIMIT_FACTOR, MIN_HARD_STALL_MS);
  };

  const checkAgain = (): void => {
    cancelCheck = null;
    check();
    scheduleCheck();
  };

  const scheduleCheck = (): void => {
    if (cancelCheck !== null || holdings.size === 0) return;
    cancelCheck = clock.after(CHECK_MS, checkAgain);
  };

  /** An answer that arrives between two checks may exceed the limit. */
  const checkEarly = (): void => {
    if (totalBytes <= limits.maxBytes) return;
    if (clock.now() - checkedAt >= MIN_CHECK_MS) check();
  };

  const holdingOf = (connection: AnswerConnection): Holding => {
    const known = holdings.get(connection);
    if (known !== undefined) return known;
    const holding: Holding = {
      ...{connection, bytes: 0, answers: 0},
      progressAt: clock.now(),
    };
    holdings.set(connection, holding);
    if (!observed.has(connection)) {
      observed.add(connection);
      connection.once('close', () => forget(connection));
    }
    return holding;
  };

  return {
    add(connection, bodyBytes) {
      const bytes = bodyBytes + OVERHEAD_BYTES;
      const holding = holdingOf(connection);
      holding.bytes += bytes;
      holding.answers++;
      totalBytes += bytes;
      scheduleCheck();
      checkEarly();
      let isFinished = false;
      return {
        noteProgress() {
          holding.progressAt = clock.now();
        },
        finish() {
          if (isFinished) return;
          isFinished = true;
          if (holdings.get(connection) !== holding) return;
          holding.progressAt = clock.now();
          holding.bytes -= bytes;
          totalBytes -= bytes;
          holding.answers--;
          if (holding.answers === 0) forget(connection);
        },
      };
    },
    bytes: () => totalBytes,
    bytesOf: connection => holdings.get(connection)?.bytes ?? 0,
    connections: () => holdings.size,
    closed: () => closedCount,
    stop() {
      cancelCheck?.();
    },
  };
}

/**
 * Answers are written in parts of this size, in bytes, so that the progress of
 * a slow caller shows.
 */
const PART_BYTES = 64 * 1024;

/**
 * Ends the response with the body, which counts as unread until the operating
 * system has taken it.
 *
 * @example
 * ```ts
 * res.writeHead(200, headers);
 * endResponse(unread, req.socket, res, body);
 * ```
 */
export function endResponse(
  unread: UnreadAnswers,
  connection: AnswerConnection,
  res: ServerResponse,
  body: Buffer | undefined,
): void {
  if (body === undefined || body.length <= PART_BYTES) {
    res.end(body);
    // The operating system has taken it already, as for most answers.
    if (res.writableLength === 0) return;
    res.once('finish', unread.add(connection, body?.length ?? 0).finish);
    return;
  }
  const answer = unread.add(connection, body.length);
  res.once('finish', answer.finish);
  const writeFrom = (at: number): void => {
    if (at >= body.length) return void res.end();
    const end = at + PART_BYTES;
    res.write(body.subarray(at, end), err => {
      if (err !== null && err !== undefined) return;
      answer.noteProgress();
      writeFrom(end);
    });
  };
  writeFrom(0);
}
