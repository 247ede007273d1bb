import type {Clock} from '@banyandrum/base/clock.js';
import type {TimeModel} from '@banyandrum/service-times/time-model.js';
import type {TimeRow} from '@banyandrum/service-times/time-row.js';

/** A router that may lead next, and the stream to it. */
export interface TimesReceiver {
  /** `writableLength` is absent if the stream doesn't buffer. */
  readonly stream: {readonly writableLength?: number};
}

/** Selects the rows of request times to send to each deputy. */
export interface TimesShare {
  /**
   * Rows that have changed since this was last called for the receiver; empty if
   * that was recently or if its stream is busy.
   */
  rowsFor(receiver: TimesReceiver): readonly TimeRow[];
}

/** Dependencies of `createTimesShare`. */
export interface TimesShareConfig {
  readonly clock: Clock;
  /** Absent if times aren't kept by kind. */
  readonly times?: Pick<TimeModel, 'rows' | 'revision'>;
}

interface SentTimes {
  readonly revision: number;
  /** Monotonic time, in ms. */
  readonly at: number;
}

/**
 * Minimum interval between rows for the same router, in ms. A new leader may be
 * that much behind, in which time few servers answer more than 20 requests.
 */
const MIN_INTERVAL_MS = 1_000;

const NO_ROWS: readonly TimeRow[] = [];

/**
 * Creates the selection. Nothing is queued for a slow link: the rows that it
 * misses are part of the next ones.
 *
 * @example
 * ```ts
 * const share = createTimesShare({clock, times: model});
 * const rows = share.rowsFor(deputy);
 * ```
 */
export function createTimesShare({clock, times}: TimesShareConfig): TimesShare {
  const sent = new WeakMap<TimesReceiver, SentTimes>();
  return {
    rowsFor(receiver) {
      if (times === undefined) return NO_ROWS;
      const now = clock.now();
      const last = sent.get(receiver);
      if (last !== undefined && now - last.at < MIN_INTERVAL_MS) return NO_ROWS;
      if ((receiver.stream.writableLength ?? 0) > 0) return NO_ROWS;
      const rows = times.rows(last?.revision);
      sent.set(receiver, {revision: times.revision(), at: now});
      return rows;
    },
  };
}
