import type {Clock} from '@banyandrum/base/clock.js';
import type {Emit} from './events.js';
import {readLimit} from './wire.js';

/** Request limits that backend servers report in their answers. */
export interface ServerLimits {
  /** Updates the limit of a run from one of its answers. */
  noteAnswer(reported: ReportedLimit): void;
  /** Requests per second accepted from all routers; null if unlimited. */
  limitOf(server: string): number | null;
  /** Number of remembered runs that have a limit. */
  count(): number;
}

/** The limit reported in an answer, or its absence. */
export interface ReportedLimit {
  /** Id of the run that answered. */
  readonly server: string;
  /** Unparsed header value; undefined if the header is missing. */
  readonly text: string | undefined;
  /** Monotonic time at which the request was sent, in ms. */
  readonly sentAt: number;
  /** Whether the answer is complete and signed, so not a refusal. */
  readonly isComplete: boolean;
}

interface KnownLimit {
  readonly perSecond: number | null;
  /** Monotonic time at which this router last changed the limit, in ms. */
  readonly changedAt: number;
}

/** Bounds memory, as the limits of runs that have ended are kept too. */
const MAX_KNOWN_LIMITS = 2_000;
/** Minimum interval between `limit-unreadable` events, in ms. */
const UNREADABLE_LOG_INTERVAL_MS = 1_000;
/** Characters of an unreadable value that are logged. */
const MAX_LOGGED_LENGTH = 40;

/**
 * Keeps the latest reported limit of each server run. Answers can arrive out of
 * order, so a lower limit applies at once, but a higher limit or none applies
 * only if the request was sent after the known limit last changed.
 *
 * @example
 * ```ts
 * const limits = createServerLimits({clock, emit});
 * limits.noteAnswer({server, text: '5.4', sentAt, isComplete: true});
 * limits.limitOf(server); // 5.4
 * ```
 */
export function createServerLimits({
  clock,
  emit,
}: {
  readonly clock: Clock;
  readonly emit: Emit;
}): ServerLimits {
  const known = new Map<string, KnownLimit>();
  let lastLoggedAt = -Infinity;

  const limitOf = (server: string): number | null =>
    known.get(server)?.perSecond ?? null;

  const setLimit = (server: string, perSecond: number | null): void => {
    const before = limitOf(server);
    // Reinserted at the end, so that the least recently changed is evicted.
    known.delete(server);
    known.set(server, {perSecond, changedAt: clock.now()});
    if (known.size > MAX_KNOWN_LIMITS) known.delete([...known.keys()][0]!);
    emit('server-limited', {server, perSecond, before});
  };

  const logUnreadable = (server: string, text: string): void => {
    const now = clock.now();
    if (now - lastLoggedAt < UNREADABLE_LOG_INTERVAL_MS) return;
    lastLoggedAt = now;
    emit('limit-unreadable', {server, text: text.slice(0, MAX_LOGGED_LENGTH)});
  };

  return {
    noteAnswer({server, text, sentAt, isComplete}) {
      // A refusal or an incomplete answer may omit the header despite a limit.
      if (text === undefined && !isComplete) return;
      const perSecond = text === undefined ? null : readLimit(text);
      if (text !== undefined && perSecond === null) {
        return logUnreadable(server, text);
      }
      const before = limitOf(server);
      if (perSecond === before) return;
      const isLower = (perSecond ?? Infinity) < (before ?? Infinity);
      const changedAt = known.get(server)?.changedAt ?? -Infinity;
      if (isLower || sentAt > changedAt) setLimit(server, perSecond);
    },
    limitOf,
    count: () =>
      [...known.values()].filter(({perSecond}) => perSecond !== null).length,
  };
}
