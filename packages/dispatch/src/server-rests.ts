import type {Clock} from '@banyandrum/base/clock.js';
import {answerFields, type CompletedAttempt} from './completed-attempt.js';
import type {Emit} from './events.js';
import {readRetryAfter, type WireNames} from './wire.js';

/** Rest periods that backend servers requested from this router. */
export interface ServerRests {
  /** Records the `Retry-After` value of a refusal by the server. */
  noteRefusal(server: string, retryAfter: string): void;
  /**
   * Time until the rest period of the server ends, in ms; 0 if there is none.
   */
  remainingMs(server: string): number;
  /** Number of servers that are resting now. */
  count(): number;
}

const REFUSAL_STATUSES: ReadonlySet<number> = new Set([429, 503]);

/**
 * Records the rest period requested in a refusal, complete or not.
 *
 * @example
 * ```ts
 * noteRetryAfter(rests, names, {server, sentAt, result: await attempt.result});
 * ```
 */
export function noteRetryAfter(
  rests: Pick<ServerRests, 'noteRefusal'>,
  names: WireNames,
  attempt: CompletedAttempt,
): void {
  const {server, result} = attempt;
  const fields = answerFields(names, attempt);
  const text = fields?.get(names.retryAfter);
  if (text === undefined || !fields!.has(names.notRun)) return;
  if (result.kind === 'answered' && !REFUSAL_STATUSES.has(result.answer.status))
    return;
  rests.noteRefusal(server, text);
}

/** Bounds memory; expired entries are dropped first, then the oldest. */
const MAX_SERVERS = 2_000;
/** Minimum interval between `rest-unreadable` events, in ms. */
const UNREADABLE_LOG_INTERVAL_MS = 1_000;
/** Maximum number of characters logged of an unreadable value. */
const MAX_LOGGED_LENGTH = 40;

/**
 * Tracks rest periods by server instance. They apply to this router only,
 * regardless of the leader. If periods overlap, the latest end applies.
 *
 * @example
 * ```ts
 * const rests = createServerRests({clock, emit});
 * rests.noteRefusal('i-7f3a91c2', '3');
 * rests.remainingMs('i-7f3a91c2'); // 3000
 * ```
 */
export function createServerRests({
  clock,
  emit,
}: {
  readonly clock: Clock;
  readonly emit: Emit;
}): ServerRests {
  const endsAt = new Map<string, number>();
  let lastLoggedAt = -Infinity;

  const remainingMs = (server: string): number =>
    Math.max(0, (endsAt.get(server) ?? -Infinity) - clock.now());

  const prune = (): void => {
    const now = clock.now();
    for (const [server, end] of endsAt) {
      if (end <= now) endsAt.delete(server);
    }
    for (const server of endsAt.keys()) {
      if (endsAt.size <= MAX_SERVERS) return;
      endsAt.delete(server);
    }
  };

  const logUnreadable = (server: string, text: string): void => {
    const now = clock.now();
    if (now - lastLoggedAt < UNREADABLE_LOG_INTERVAL_MS) return;
    lastLoggedAt = now;
    emit('rest-unreadable', {server, text: text.slice(0, MAX_LOGGED_LENGTH)});
  };

  return {
    noteRefusal(server, retryAfter) {
      const ms = readRetryAfter(retryAfter);
      if (ms === null) return logUnreadable(server, retryAfter);
      const previousMs = remainingMs(server);
      if (ms <= previousMs) return;
      endsAt.set(server, clock.now() + ms);
      prune();
      if (previousMs === 0) emit('server-rests', {server, ms});
    },
    remainingMs,
    count() {
      if (endsAt.size > 0) prune();
      return endsAt.size;
    },
  };
}
