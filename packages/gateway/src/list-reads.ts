import type {Clock} from '@banyandrum/base/clock.js';
import type {Platform} from './platform.js';
import type {ServerList} from './server-list.js';

/** Reads of the platform's list of servers, some of them at the same time. */
export interface ListReads {
  /** Time since the newest read was sent, in ms. */
  sinceLastMs(): number;
  /**
   * Starts a read unless others were sent lately. `intervalMs` is the interval at
   * which reads should be answered.
   */
  startIfDue(intervalMs: number): Promise<void>;
}

/** Dependencies of `createListReads`. */
export interface ListReadsConfig {
  readonly clock: Clock;
  readonly platform: Pick<Platform, 'readServers'>;
  readonly list: Pick<ServerList, 'cursor' | 'applyRead'>;
}

/** Limit of reads that were sent since the last one that was answered. */
const MAX_UNANSWERED = 8;
/** Longest time to a further read, unless reads are rarer than that, in ms. */
const MAX_FURTHER_MS = 250;

/**
 * Creates the reads. A read that gets no answer doesn't delay the next one: the
 * servers that turn cold until its timeout would get too much. Further reads are
 * sent at the interval of the reads at first, which is no more calls than a store
 * that answers gets, and less often after the second.
 *
 * @example
 * ```ts
 * const reads = createListReads({clock, platform, list});
 * await reads.startIfDue(400);
 * ```
 */
export function createListReads({
  clock,
  platform,
  list,
}: ListReadsConfig): ListReads {
  /** When the pending reads were sent, in ms. */
  const pending = new Set<number>();
  let lastSentAt = -Infinity;
  /** When the newest read that was answered had been sent, in ms. */
  let answeredSentAt = -Infinity;

  const isDue = (intervalMs: number): boolean => {
    if (pending.size === 0) return true;
    // A whole list takes several calls in a row.
    if (list.cursor() === null) return false;
    const unanswered = [...pending].filter(at => at > answeredSentAt).length;
    if (unanswered === 0) return true;
    if (unanswered >= MAX_UNANSWERED) return false;
    const furtherMs = intervalMs * 2 ** Math.max(0, unanswered - 2);
    const waitMs = Math.max(intervalMs, Math.min(MAX_FURTHER_MS, furtherMs));
    return clock.now() - lastSentAt >= waitMs;
  };

  const read = async (): Promise<void> => {
    const sentAt = clock.now();
    const from = list.cursor();
    lastSentAt = sentAt;
    pending.add(sentAt);
    const result = await platform
      .readServers(from)
      .finally(() => pending.delete(sentAt));
    if (result.kind === 'failed') {
      // A later read has shown that the store answers.
      if (sentAt > answeredSentAt) list.applyRead(result);
      return;
    }
    answeredSentAt = Math.max(answeredSentAt, sentAt);
    // It may be older than what another read has applied meanwhile.
    if (list.cursor() === from) list.applyRead(result, sentAt);
  };

  return {
    sinceLastMs: () => clock.now() - lastSentAt,
    startIfDue: async intervalMs => {
      if (isDue(intervalMs)) await read();
    },
  };
}
