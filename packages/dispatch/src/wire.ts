/**
 * Names of the header fields that routers and backend servers exchange, in
 * lower case. The platform of the deployment defines them.
 */
export interface WireNames {
  /** Id of a caller's attempt, which servers return in their answers. */
  readonly requestId: string;
  /** Time left to the deadline, in ms. */
  readonly deadlineMs: string;
  /** Name of the server that the request is meant for. */
  readonly expectedServer: string;
  /** Present in answers that the server itself produced. */
  readonly signature: string;
  /** Present if the server didn't run the request. */
  readonly notRun: string;
  /**
   * Running requests, waiting requests and slots of the server, and optionally
   * how long work takes on its machine now, where 100 is usual: `3,0,8,290`.
   */
  readonly load: string;
  /** Requests per second that the server accepts from all routers combined. */
  readonly limit: string;
  /** `1` if the server is shutting down. */
  readonly leaving: string;
  /**
   * Remaining time for which the server is cold, in ms; in the answers of its
   * health endpoint.
   */
  readonly coldMs: string;
  /** Seconds to send no requests to the server; set in its refusals. */
  readonly retryAfter: string;
  /** Key of the request. */
  readonly key: string;
  /** Name of the server that answers. */
  readonly serverId: string;
}

/** Load reported by a server. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /**
   * Slowdown by other work on the server's machine, 1 is usual; absent if the
   * server doesn't report it.
   */
  readonly slowdown?: number;
}

/** Parses a load report; null if it is malformed. */
export function readLoad(text: string | undefined): ReportedLoad | null {
  if (text === undefined) return null;
  const [running, waiting, slots, percent] = text.split(',').map(Number);
  if (!isCount(running) || !isCount(waiting) || !isCount(slots)) return null;
  const load = {running, waiting, slots};
  return isSlowdown(percent) ? {...load, slowdown: percent / 100} : load;
}

/**
 * Parses a request limit, in requests per second; null unless it is a plain
 * decimal number.
 */
export function readLimit(text: string): number | null {
  if (text.length > MAX_LIMIT_LENGTH || !DECIMAL.test(text)) return null;
  return Number(text);
}

/** Converts decimal seconds to ms; returns null for anything else. */
export function readRetryAfter(text: string): number | null {
  const seconds = readLimit(text);
  return seconds === null ? null : seconds * 1_000;
}

const DECIMAL = /^\d+(\.\d+)?$/;
/** Rejects oversized values before the pattern is applied. */
const MAX_LIMIT_LENGTH = 20;

/**
 * Bounds of a reported slowdown, in percent. Values beyond them are taken for
 * faults of the server, and would distort the mean of its times.
 */
const MIN_SLOWDOWN_PERCENT = 10;
const MAX_SLOWDOWN_PERCENT = 5_000;

function isSlowdown(percent: number | undefined): percent is number {
  if (percent === undefined) return false;
  return percent >= MIN_SLOWDOWN_PERCENT && percent <= MAX_SLOWDOWN_PERCENT;
}

function isCount(value: number | undefined): value is number {
  return value !== undefined && Number.isInteger(value) && value >= 0;
}
