import {write} from 'node:fs';
import type {Emit, EventFields} from '@banyandrum/dispatch/events.js';
import type {LogLevel} from './settings.js';

/** Writes events as JSON lines without ever blocking or growing. */
export interface EventLog {
  readonly emit: Emit;
  /** Lines dropped since the start. */
  dropped(): number;
  /** Writes what is kept and resolves when it is out, or after `ms`. */
  flush(ms: number): Promise<void>;
}

/** Lines kept while the output is busy. */
const MAX_LINES = 2_000;
/** One write takes this many lines at the most. */
const LINES_A_WRITE = 200;
/** Lines are gathered for this time, in ms: fewer, larger writes. */
const GATHER_MS = 100;

/** What each level writes. */
const WANTED: Readonly<
  Record<LogLevel, (event: string, fields: EventFields) => boolean>
> = {
  info: () => true,
  warn: (event, {outcome}) => event !== 'request' || outcome !== 'answered',
  off: () => false,
};

/**
 * Makes the log on the file descriptor `fd`. A slow reader costs lines, never
 * time: writes are asynchronous, one at a time, and what doesn't fit is
 * counted and told in a line of its own.
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
  const isWanted = WANTED[level];
  const lines: string[] = [];
  let dropped = 0;
  let toldDropped = 0;
  let isWriting = false;
  let timer: NodeJS.Timeout | null = null;
  let whenIdle: (() => void)[] = [];

  const finish = (): void => {
    isWriting = false;
    if (lines.length > 0) return writeSome();
    whenIdle.forEach(resolve => resolve());
    whenIdle = [];
  };

  const writeRest = (data: Buffer): void => {
    write(fd, data, (err, written) => {
      if (err?.code === 'EAGAIN') {
        setTimeout(() => writeRest(data), GATHER_MS).unref();
        return;
      }
      // Nobody reads any more: the lines have nowhere else to go.
      if (err) return finish();
      if (written < data.length) return writeRest(data.subarray(written));
      finish();
    });
  };

  const writeSome = (): void => {
    timer = null;
    if (isWriting) return;
    isWriting = true;
    const some = lines.splice(0, LINES_A_WRITE);
    if (dropped > toldDropped) {
      some.push(format('lines-dropped', {count: dropped - toldDropped}));
      toldDropped = dropped;
    }
    writeRest(Buffer.from(some.join('')));
  };

  const format: (...args: Parameters<Emit>) => string = (event, fields) =>
    `${JSON.stringify({at: Date.now(), host, event, ...fields})}\n`;

  return {
    emit(event, fields) {
      if (!isWanted(event, fields)) return;
      if (lines.length >= MAX_LINES) {
        dropped++;
        return;
      }
      lines.push(format(event, fields));
      if (isWriting || timer !== null) return;
      timer = setTimeout(writeSome, GATHER_MS);
      timer.unref();
    },
    dropped: () => dropped,
    flush(ms) {
      return new Promise(resolve => {
        setTimeout(resolve, ms);
        whenIdle.push(resolve);
        if (!isWriting) writeSome();
      });
    },
  };
}
