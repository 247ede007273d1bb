import type {Clock} from '@banyandrum/base/clock.js';
import {sleep} from '@banyandrum/base/clock.js';
import type {Logger} from '@banyandrum/base/logger.js';
import {Err, Ok} from '@banyandrum/base/result.js';
import type {Result} from '@banyandrum/base/result.js';
import type {LogClient, LogError} from '@banyandrum/log/client.js';
import {runTail} from '@banyandrum/log/tail.js';
import {decodeRecord, encodeRecord} from './codec.js';
import {createLogReader} from './log-reader.js';
import type {LogReader} from './log-reader.js';
import {createPendingAppends} from './pending-appends.js';
import type {PendingAppend, PendingAppends} from './pending-appends.js';
import type {StateRecord} from './records.js';
import {decodeState} from './snapshot.js';
import {createNewestSnapshot, runSnapshotWriter} from './snapshot-writer.js';
import type {SnapshotSchedule} from './snapshot-writer.js';
import type {ClusterState} from './state.js';
import type {Appended, StateStore} from './store.js';

export interface StateStoreOptions {
  readonly client: LogClient;
  readonly clock: Clock;
  readonly log: Logger;
  /** From 0 to below 1, as `Math.random`. */
  readonly random?: () => number;
  /** How long the log may hold back a read at its end, in ms. */
  readonly waitMs?: number;
  /** Records in one read. */
  readonly maxRecords?: number;
  /** How long an append waits until it is read back, in ms. */
  readonly readBackMs?: number;
  /** How long the log keeps records, in ms. */
  readonly retentionMs?: number;
  readonly snapshotAfterRecords?: number;
  readonly snapshotJitterMs?: number;
}

const DEFAULT_WAIT_MS = 250;
const DEFAULT_MAX_RECORDS = 256;
const DEFAULT_READ_BACK_MS = 10_000;
const DEFAULT_RETENTION_MS = 3_600_000;
const DEFAULT_SNAPSHOT_AFTER_RECORDS = 500;
const DEFAULT_SNAPSHOT_JITTER_MS = 5_000;

const RESTART_PAUSE_MS = 1_000;

/**
 * Reads the log from its start, or from a snapshot where its start is gone,
 * and keeps the state that it yields. The state only moves forward.
 *
 * @example
 * ```ts
 * const store = createStateStore({client, clock, log});
 * const appended = await store.append({kind: 'views', claims});
 * if (appended.err && appended.val.kind === 'unknown') askAgainLater();
 * ```
 */
export function createStateStore(options: StateStoreOptions): StateStore {
  const {clock, log} = options;
  const random = options.random ?? Math.random;
  const stopping = new AbortController();
  const pendings = createPendingAppends();
  const listeners = new Set<(state: ClusterState) => void>();
  const schedule = toSchedule(options);
  const newest = createNewestSnapshot(clock, schedule, random);

  const reader = createLogReader({
    log,
    onRecord(offset, decoded, state) {
      if (decoded.kind !== 'record') return;
      pendings.recordRead(decoded.id, offset, state);
      if (decoded.record.kind !== 'snapshot') return;
      const isLive = reader.confirmedAt() > -Infinity;
      newest.note(decoded.record.next, isLive);
    },
    onMoved(state) {
      pendings.stateMoved(state);
      for (const listener of listeners) tell(listener, state, log);
    },
  });
  const append = createAppend(options, reader, pendings, stopping.signal);
  const tasks = Promise.all([
    readLog(options, reader, random, stopping.signal),
    runSnapshotWriter({
      clock,
      log,
      random,
      schedule,
      newest,
      append,
      current: reader.current,
      confirmedAt: reader.confirmedAt,
      signal: stopping.signal,
    }),
  ]);

  return {
    current: reader.current,
    confirmedAt: reader.confirmedAt,
    subscribe(listener) {
      listeners.add(listener);
      return () => {
        listeners.delete(listener);
      };
    },
    append,
    adopt(encoded) {
      const state = decodeState(encoded);
      return state !== null && reader.adopt(state);
    },
    async close() {
      stopping.abort();
      await tasks;
    },
  };
}

function tell(
  listener: (state: ClusterState) => void,
  state: ClusterState,
  log: Logger,
): void {
  try {
    listener(state);
  } catch (err) {
    log.error('listener of the state failed', {detail: String(err)});
  }
}

async function readLog(
  options: StateStoreOptions,
  reader: LogReader,
  random: () => number,
  signal: AbortSignal,
): Promise<void> {
  const {client, clock, log} = options;
  while (!signal.aborted) {
    try {
      await runTail({
        client,
        clock,
        log,
        random,
        signal,
        from: reader.current().next,
        waitMs: options.waitMs ?? DEFAULT_WAIT_MS,
        maxRecords: options.maxRecords ?? DEFAULT_MAX_RECORDS,
        onPage: reader.takePage,
        onExpired: reader.takeExpired,
      });
    } catch (err) {
      // A fault of ours. Without another try this process would keep an old
      // state for good, with nothing but its age to show for it.
      log.error('reading the log failed', {detail: String(err)});
      await sleep(clock, RESTART_PAUSE_MS, signal);
    }
  }
}

function createAppend(
  options: StateStoreOptions,
  reader: LogReader,
  pendings: PendingAppends,
  stopping: AbortSignal,
): StateStore['append'] {
  const {client, clock} = options;
  const readBackMs = options.readBackMs ?? DEFAULT_READ_BACK_MS;

  /** Settles only with a proof that nothing was applied. */
  const send = async (
    record: StateRecord,
    pending: PendingAppend,
    signal: AbortSignal,
  ): Promise<Result<Appended, LogError>> => {
    const data = encodeRecord(record, pending.id);
    // Readers would skip it: its author would wait for a change never made.
    if (decodeRecord(data).kind !== 'record') {
      return Err({kind: 'unavailable', detail: `no valid ${record.kind}`});
    }
    const reply = await client.append(data, signal);
    if (reply.err && reply.val.kind !== 'unknown') return reply;
    if (reply.ok) {
      pending.confirm(reply.val);
      pendings.stateMoved(reader.current());
    }
    return new Promise<never>(() => {});
  };

  // Reading back settles what a lost reply leaves open. A log that is silent
  // for reads too leaves it open: the record may still be applied.
  const giveUp = async (
    signal: AbortSignal,
  ): Promise<Result<Appended, LogError>> => {
    await sleep(clock, readBackMs, signal);
    return Err({kind: 'unknown', detail: 'the append was not read back'});
  };

  return async (record, callerSignal) => {
    if (stopping.aborted || callerSignal?.aborted) {
      return Err({kind: 'unavailable', detail: 'stopped before the append'});
    }
    const ended = new AbortController();
    const end = (): void => ended.abort();
    const sources = callerSignal ? [stopping, callerSignal] : [stopping];
    for (const source of sources) source.addEventListener('abort', end);
    const pending = pendings.begin();
    try {
      return await Promise.race([
        pending.readBack.then(appended => Ok(appended)),
        send(record, pending, ended.signal),
        giveUp(ended.signal),
      ]);
    } finally {
      pending.forget();
      for (const source of sources) source.removeEventListener('abort', end);
      end();
    }
  };
}

function toSchedule(options: StateStoreOptions): SnapshotSchedule {
  const retentionMs = options.retentionMs ?? DEFAULT_RETENTION_MS;
  return {
    afterMs: retentionMs / 2,
    afterRecords:
      options.snapshotAfterRecords ?? DEFAULT_SNAPSHOT_AFTER_RECORDS,
    jitterMs: options.snapshotJitterMs ?? DEFAULT_SNAPSHOT_JITTER_MS,
  };
}
