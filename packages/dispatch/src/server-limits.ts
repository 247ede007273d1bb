import type {Clock} from '@banyandrum/base/clock.js';
import {answerFields, type CompletedAttempt} from './completed-attempt.js';
import type {Emit} from './events.js';
import {createRateShare, type RateShare} from './rate-share.js';
import {createTokenBucket, type TokenBucket} from './token-bucket.js';
import {readLimit, type WireNames} from './wire.js';

/** Request limits that backend servers report in their answers. */
export interface ServerLimits {
  /** Updates the limit of an instance from one of its answers. */
  noteAnswer(reported: ReportedLimit): void;
  /**
   * Requests per second that all routers together may send; null if unlimited.
   */
  limitOf(server: string): number | null;
  /** Number of known instances that have a limit. */
  count(): number;
  /** Whether the leader may send one more request to the server now. */
  hasToken(server: string): boolean;
  /** Takes a token for a request that the leader sends to the server. */
  takeToken(server: string): void;
  /**
   * Takes a token from this router's share of the limit, used while there is no
   * leader; false if none is available. The limit is shared by `routerCount`
   * routers.
   */
  takeShareToken(server: string, routerCount: number): boolean;
  /** All known limits, including recently lifted ones. */
  rows(): readonly LimitRow[];
  /** Limits that were reported in answers to this router. */
  ownRows(): readonly LimitRow[];
  /** Merges limits sent by a follower; called on the leader. */
  mergeFromFollower(rows: readonly LimitRow[]): void;
  /** Merges limits sent by the leader; called on followers. */
  mergeFromLeader(rows: readonly LimitRow[]): void;
  /**
   * Calls `listener` on each change; `isOwn` is set if an answer to this router
   * caused it.
   */
  subscribe(listener: (row: LimitRow, isOwn: boolean) => void): void;
}

/** Instance id and limit in requests per second; null if it was lifted. */
export type LimitRow = readonly [string, number | null];

/** The limit reported in an answer, or its absence. */
export interface ReportedLimit {
  /** Id of the instance that answered. */
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
  /** Monotonic time of the last update, repeated reports included, in ms. */
  readonly updatedAt: number;
  /** Monotonic time of the last report in an answer to this router, in ms. */
  readonly reportedAt: number;
  /** Meters slot allocations while this router leads. */
  readonly bucket: TokenBucket;
  /** Meters requests while there is no leader. */
  readonly share: RateShare;
}

/** How a limit became known, for the log. */
type LimitSource = 'answer' | 'leader' | 'follower';

/** Bounds memory, as the limits of terminated instances are kept too. */
const MAX_KNOWN_LIMITS = 2_000;
/** Minimum interval between `limit-unreadable` events, in ms. */
const UNREADABLE_LOG_INTERVAL_MS = 1_000;
/** Characters of an unreadable value that are logged. */
const MAX_LOGGED_LENGTH = 40;
/**
 * Lower limits are raised to this rate, as only answers to further requests can
 * report that a limit was lifted.
 */
const MIN_PER_SECOND = 0.25;
/**
 * Fraction of the limit that routers without a leader use in total. In a
 * partition, a leader may use the whole limit at the same time.
 */
export const LEADERLESS_SHARE = 0.45;
/** For this time a reported limit takes precedence over the leader's, in ms. */
const REPORT_PRECEDENCE_MS = 1_000;
/** Lifted limits are sent to other routers for this time, in ms. */
const LIFTED_ROW_TTL_MS = 10_000;

/**
 * Keeps the latest reported limit of each server instance, and limits requests
 * to it. Answers can arrive out of order, so a lower limit applies at once, but
 * a higher limit or none applies only if the request was sent after the known
 * limit was last reported or changed.
 *
 * @example
 * ```ts
 * const limits = createServerLimits({clock, emit});
 * limits.noteAnswer({server, text: '5.4', sentAt, isComplete: true});
 * limits.limitOf(server); // 5.4
 * if (limits.hasToken(server)) limits.takeToken(server);
 * ```
 */
export function createServerLimits({
  clock,
  emit,
  random = Math.random,
}: {
  readonly clock: Clock;
  readonly emit: Emit;
  /** Returns a number from 0 to 1, exclusive of 1. */
  readonly random?: () => number;
}): ServerLimits {
  const known = new Map<string, KnownLimit>();
  const listeners = new Set<Parameters<ServerLimits['subscribe']>[0]>();
  let lastLoggedAt = -Infinity;

  const perSecondOf = (server: string): number | null =>
    known.get(server)?.perSecond ?? null;

  const setLimit = (
    server: string,
    perSecond: number | null,
    by: LimitSource,
  ): void => {
    const last = known.get(server);
    const before = perSecondOf(server);
    const now = clock.now();
    const rate = rateOf(perSecond ?? 0);
    const bucket = last?.bucket ?? createTokenBucket(rate, now);
    bucket.setRate(rate, now);
    const share = last?.share ?? createRateShare(random);
    const reportedAt = by === 'answer' ? now : (last?.reportedAt ?? -Infinity);
    // Reinserted at the end, so that the least recently updated is evicted.
    known.delete(server);
    known.set(server, {perSecond, updatedAt: now, reportedAt, bucket, share});
    if (known.size > MAX_KNOWN_LIMITS) known.delete([...known.keys()][0]!);
    if (perSecond === before) return;
    emit('server-limited', {server, perSecond, before, by});
    listeners.forEach(listener =>
      listener([server, perSecond], by === 'answer'),
    );
  };

  const logUnreadable = (server: string, text: string): void => {
    const now = clock.now();
    if (now - lastLoggedAt < UNREADABLE_LOG_INTERVAL_MS) return;
    lastLoggedAt = now;
    emit('limit-unreadable', {server, text: text.slice(0, MAX_LOGGED_LENGTH)});
  };

  const rowsOf = (isWanted: (limit: KnownLimit) => boolean): LimitRow[] =>
    [...known].flatMap(([server, limit]) =>
      isWanted(limit) ? [[server, limit.perSecond] as const] : [],
    );

  return {
    noteAnswer({server, text, sentAt, isComplete}) {
      // A refusal or an incomplete answer may omit the header despite a limit.
      if (text === undefined && !isComplete) return;
      const perSecond = text === undefined ? null : readLimit(text);
      if (text !== undefined && perSecond === null) {
        return logUnreadable(server, text);
      }
      const before = known.get(server);
      if (perSecond === null && (before?.perSecond ?? null) === null) return;
      if (before !== undefined && sentAt <= before.updatedAt) {
        if (!isLower(perSecond, before.perSecond)) return;
      }
      setLimit(server, perSecond, 'answer');
    },
    limitOf(server) {
      const perSecond = perSecondOf(server);
      return perSecond === null ? null : rateOf(perSecond);
    },
    count: () => rowsOf(({perSecond}) => perSecond !== null).length,
    hasToken(server) {
      if (known.size === 0) return true;
      const limit = known.get(server);
      if (limit === undefined || limit.perSecond === null) return true;
      return limit.bucket.hasToken(clock.now());
    },
    takeToken(server) {
      const limit = known.get(server);
      if (limit !== undefined && limit.perSecond !== null) {
        limit.bucket.take(clock.now());
      }
    },
    takeShareToken(server, routerCount) {
      const limit = known.get(server);
      if (limit === undefined || limit.perSecond === null) return true;
      const rate = rateOf(limit.perSecond) * LEADERLESS_SHARE;
      const periodMs = (1_000 * routerCount) / rate;
      return limit.share.take(clock.now(), periodMs);
    },
    rows() {
      const since = clock.now() - LIFTED_ROW_TTL_MS;
      return rowsOf(
        ({perSecond, updatedAt}) => perSecond !== null || updatedAt > since,
      ).sort(([a], [b]) => (a < b ? -1 : 1));
    },
    ownRows: () =>
      rowsOf(
        ({perSecond, reportedAt}) =>
          perSecond !== null && reportedAt > -Infinity,
      ),
    mergeFromFollower(rows) {
      for (const [server, perSecond] of rows) {
        if (perSecond !== perSecondOf(server)) {
          setLimit(server, perSecond, 'follower');
        }
      }
    },
    mergeFromLeader(rows) {
      const precedenceSince = clock.now() - REPORT_PRECEDENCE_MS;
      for (const [server, perSecond] of rows) {
        const before = known.get(server);
        if (perSecond === (before?.perSecond ?? null)) continue;
        const hasPrecedence =
          (before?.reportedAt ?? -Infinity) > precedenceSince;
        if (hasPrecedence && !isLower(perSecond, before!.perSecond)) continue;
        setLimit(server, perSecond, 'leader');
      }
    },
    subscribe: listener => void listeners.add(listener),
  };
}

/**
 * Records the request limit in the answer's headers, complete or not.
 *
 * @example
 * ```ts
 * noteLimit(limits, names, {server, sentAt, result: await attempt.result});
 * ```
 */
export function noteLimit(
  limits: Pick<ServerLimits, 'noteAnswer'>,
  names: WireNames,
  attempt: CompletedAttempt,
): void {
  const {server, sentAt, result} = attempt;
  const fields = answerFields(names, attempt);
  if (fields === null) return;
  const isComplete = result.kind === 'answered' && fields.has(names.signature);
  const text = fields.get(names.limit);
  limits.noteAnswer({server, text, sentAt, isComplete});
}

function rateOf(perSecond: number): number {
  return Math.max(MIN_PER_SECOND, perSecond);
}

function isLower(a: number | null, b: number | null): boolean {
  return (a ?? Infinity) < (b ?? Infinity);
}
