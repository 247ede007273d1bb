import {write} from 'node:fs';
import type {Emit, EventFields} from '@banyandrum/dispatch/events.js';
import type {LogLevel} from './settings.js';

/** Writes events as JSON lines; never blocks, and bounds its memory. */
export interface EventLog {
  readonly emit: Emit;
  /** Number of lines dropped since the start. */
  dropped(): number;
  /** Writes all buffered lines; resolves when done, or after `ms`. */
  flush(ms: number): Promise<void>;
}

/** Lines buffered while the output is busy; more are dropped. */
const MAX_BUFFERED_LINES = 2_000;
const MAX_LINES_PER_WRITE = 200;
/** Lines are collected for this time, in ms, for fewer and larger writes. */
const BATCH_DELAY_MS = 100;

/** Which events each level writes. */
const LEVEL_FILTERS: Readonly<
  Record<LogLevel, (event: string, fields: EventFields) => boolean>
> = {
  info: () => true,
  warn: (event, {outcome}) => event !== 'request' || outcome !== 'answered',
  off: () => false,
};

/**
 * Creates a log that writes to the file descriptor `fd`. A slow reader never
 * delays the process: writes are asynchronous, one at a time, and lines that
 * don't fit the buffer are dropped. A `lines-dropped` event reports their
 * number.
 *
 * @example
 * ```ts
 * const log = createEventLog(1, 'entry-3');
 * log.emit('started', {version: '0.1.0'});
 * ```
 */
export function createEventLog(
  fd: number,
  host: string,
  level: LogLevel = 'info',
): EventLog {
  const isWanted = LEVEL_FILTERS[level];
  const lines: string[] = [];
  let dropped = 0;
  let reportedDropped = 0;
  let isWriting = false;
  let timer: NodeJS.Timeout | null = null;
  let idleListeners: (() => void)[] = [];

  const finish = (): void => {
    isWriting = false;
    if (lines.length > 0) return writeBatch();
    idleListeners.forEach(resolve => resolve());
    idleListeners = [];
  };

  const writeFully = (data: Buffer): void => {
    write(fd, data, (err, written) => {
      if (err?.code === 'EAGAIN') {
        setTimeout(() => writeFully(data), BATCH_DELAY_MS).unref();
        return;
      }
      // The reader is gone; the batch is discarded.
      if (err) return finish();
      if (written < data.length) return writeFully(data.subarray(written));
      finish();
    });
  };

  const writeBatch = (): void => {
    timer = null;
    if (isWriting) return;
    isWriting = true;
    const batch = lines.splice(0, MAX_LINES_PER_WRITE);
    if (dropped > reportedDropped) {
      batch.push(format('lines-dropped', {count: dropped - reportedDropped}));
      reportedDropped = dropped;
    }
    writeFully(Buffer.from(batch.join('')));
  };

  const format: (...args: Parameters<Emit>) => string = (event, fields) =>
    `${JSON.stringify({at: Date.now(), host, event, ...fields})}\n`;

  return {
    emit(event, fields) {
      if (!isWanted(event, fields)) return;
      if (lines.length >= MAX_BUFFERED_LINES) {
        dropped++;
        return;
      }
      lines.push(format(event, fields));
      if (isWriting || timer !== null) return;
      timer = setTimeout(writeBatch, BATCH_DELAY_MS);
      timer.unref();
    },
    dropped: () => dropped,
    flush(ms) {
      return new Promise(resolve => {
        setTimeout(resolve, ms);
        idleListeners.push(resolve);
        if (!isWriting) writeBatch();
      });
    },
  };
}
