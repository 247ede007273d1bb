import type {Clock} from '@banyandrum/base/clock.js';
import {sleep} from '@banyandrum/base/clock.js';
import type {Offset} from '@banyandrum/base/ids.js';
import type {Logger} from '@banyandrum/base/logger.js';
import type {LogError} from '@banyandrum/log/client.js';
import type {Result} from '@banyandrum/base/result.js';
import type {SnapshotRecord} from './records.js';
import {encodeState} from './snapshot.js';
import type {ClusterState} from './state.js';

const CHECK_MS = 1_000;

/**
 * How much longer writers wait for each cell. All routers find a snapshot due
 * at the same moment, and each that draws a wait within the time in which the
 * first one's is read writes another. Their number grows with the cells'.
 */
const JITTER_PER_CELL_MS = 100;

/** How fresh the reading must be, in ms; no snapshots while the log is down. */
const MAX_READ_AGE_MS = 5_000;

export interface SnapshotSchedule {
  /** Age of the newest snapshot at which another one is due, in ms. */
  readonly afterMs: number;
  /** Records since the newest snapshot at which another one is due. */
  readonly afterRecords: number;
  /**
   * Writers wait up to so long, or longer where there are many cells, so that
   * most find that one of them wrote.
   */
  readonly jitterMs: number;
}

/** The newest snapshot known of in the log. */
export interface NewestSnapshot {
  /** The offset below which it holds everything; 1 where there is none. */
  next(): Offset;
  /** Monotonic time of this process since when it is there at the latest. */
  since(): number;
  /** Told of a snapshot read; `isLive` where it has only just been written. */
  note(next: Offset, isLive: boolean): void;
}

export interface SnapshotWriterOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly random: () => number;
  readonly schedule: SnapshotSchedule;
  readonly current: () => ClusterState;
  readonly confirmedAt: () => number;
  readonly newest: NewestSnapshot;
  readonly append: (
    record: SnapshotRecord,
  ) => Promise<Result<unknown, LogError>>;
  readonly signal: AbortSignal;
}

/**
 * Keeps track of the newest snapshot.
 *
 * Nobody knows the age of one that was there before this process. It is taken
 * for half the age at which the next is due, and up to all of it: so they are
 * also written by a fleet whose processes never live that long.
 *
 * @example
 * ```ts
 * const newest = createNewestSnapshot(clock, schedule, Math.random);
 * newest.note(record.next, true);
 * ```
 */
export function createNewestSnapshot(
  clock: Clock,
  schedule: SnapshotSchedule,
  random: () => number,
): NewestSnapshot {
  let newestNext = 1;
  let since = clock.now() - schedule.afterMs * (0.5 + random() / 2);
  return {
    next: () => newestNext,
    since: () => since,
    note(next, isLive) {
      if (next <= newestNext) return;
      newestNext = next;
      if (isLive) since = clock.now();
    },
  };
}

/**
 * Appends a snapshot whenever the newest one has grown old, until the signal
 * aborts. Every router does; a snapshot too many is harmless.
 *
 * @example
 * ```ts
 * await runSnapshotWriter({clock, schedule, current, append, ...rest});
 * ```
 */
export async function runSnapshotWriter(
  options: SnapshotWriterOptions,
): Promise<void> {
  const {clock, random, schedule, signal} = options;
  while (!signal.aborted) {
    await sleep(clock, CHECK_MS, signal);
    if (!isDue(options)) continue;
    await sleep(clock, random() * jitterOf(options), signal);
    if (signal.aborted || !isDue(options)) continue;
    const isWritten = await writeSnapshot(options);
    if (!isWritten) await sleep(clock, schedule.jitterMs, signal);
  }
}

/** Well below the time that is left until the newest snapshot expires. */
function jitterOf({schedule, current}: SnapshotWriterOptions): number {
  const {jitterMs, afterMs} = schedule;
  const wanted = JITTER_PER_CELL_MS * current().views.size;
  return Math.max(jitterMs, Math.min(wanted, afterMs / 4));
}

function isDue(options: SnapshotWriterOptions): boolean {
  const {clock, schedule} = options;
  const now = clock.now();
  const {next} = options.current();
  if (now - options.confirmedAt() > MAX_READ_AGE_MS) return false;
  if (next === 1) return false;
  const {newest} = options;
  return (
    next - newest.next() >= schedule.afterRecords ||
    now - newest.since() >= schedule.afterMs
  );
}

async function writeSnapshot(options: SnapshotWriterOptions): Promise<boolean> {
  const state = options.current();
  const encoded = encodeState(state);
  const {log} = options;
  const {next} = state;
  const appended = await options.append({
    kind: 'snapshot',
    next,
    state: encoded,
  });
  if (appended.ok) {
    log.info('snapshot written', {next, characters: encoded.length});
    return true;
  }
  log.warn('snapshot not written', {next, detail: appended.val.detail});
  return false;
}
