import loglevel from 'loglevel';

/** Additional fields of a log line. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | null | undefined>
>;

/** A structured logger that writes one JSON object per line. */
export interface Logger {
  debug(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  error(message: string, fields?: LogFields): void;
}

export const LOG_LEVELS = ['debug', 'info', 'warn', 'error'] as const;
export type LogLevel = (typeof LOG_LEVELS)[number];

/**
 * Creates a logger for one component of the process. All share the log level.
 *
 * @example
 * ```ts
 * const log = createLogger('ownership');
 * log.info('view accepted', {cell: 'holds/0', epoch: 17});
 * ```
 */
export function createLogger(part: string): Logger {
  const write =
    (level: LogLevel) =>
    (message: string, fields?: LogFields): void => {
      if (loglevel.levels[toName(level)] < loglevel.getLevel()) return;
      process.stderr.write(formatLine(level, part, message, fields));
    };
  return {
    debug: write('debug'),
    info: write('info'),
    warn: write('warn'),
    error: write('error'),
  };
}

/**
 * Sets the log level of the whole process, at any time.
 *
 * @example
 * ```ts
 * setLogLevel('debug');
 * ```
 */
export function setLogLevel(level: LogLevel): void {
  loglevel.setLevel(level, false);
}

/** A logger that discards everything, for tests. */
export function createSilentLogger(): Logger {
  const drop = (): void => {};
  return {debug: drop, info: drop, warn: drop, error: drop};
}

function toName(level: LogLevel): 'DEBUG' | 'INFO' | 'WARN' | 'ERROR' {
  return level.toUpperCase() as 'DEBUG' | 'INFO' | 'WARN' | 'ERROR';
}

function formatLine(
  level: LogLevel,
  part: string,
  message: string,
  fields: LogFields | undefined,
): string {
  const time = new Date().toISOString();
  return `${JSON.stringify({time, level, part, message, ...fields})}\n`;
}
