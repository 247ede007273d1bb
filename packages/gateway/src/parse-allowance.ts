/** What is open as more bytes of a connection could be parsed. */
export interface OpenLoad {
  /** Requests of the connection whose answers are not fully written. */
  readonly onConnection: number;
  /** Whether the last of them has not been received whole. */
  readonly isReceiving: boolean;
  /** Open requests of all connections. */
  readonly total: number;
  /** From this number on, there are too many. */
  readonly maxTotal: number;
}

/** Open requests of a connection from which on no more are parsed. */
const MAX_OPEN_PER_CONNECTION = 256;
/** Bytes of a body that are parsed in a turn: those of one read. */
const BODY_BYTES_PER_TURN = 64 * 1024;
/** Bytes of headers that are parsed in a turn: a few usual requests. */
const HEADER_BYTES_PER_TURN = 1024;
/** The same while too many requests are open: hardly one. */
const MIN_HEADER_BYTES_PER_TURN = 256;
/**
 * Requests of a connection that are forwarded at a time. Answers go out in order,
 * so that more would take slots from other callers and gain little.
 */
const MAX_FORWARDED = 4;
/** From this part of the limit on, it is one at a time. */
const BUSY_SHARE = 1 / 16;
/** Beyond this multiple of the limit, requests are refused unread. */
const REFUSED_FACTOR = 2;

/**
 * Bytes of a connection that may be parsed in this turn of the event loop. With
 * too many open requests, each connection gets one after the other.
 *
 * @example
 * ```ts
 * const load = {onConnection: 256, isReceiving: false, total: 80, maxTotal: 3_000};
 * parseAllowance(load); // 0
 * ```
 */
export function parseAllowance(load: OpenLoad): number {
  if (load.isReceiving) return BODY_BYTES_PER_TURN;
  if (load.onConnection >= MAX_OPEN_PER_CONNECTION) return 0;
  if (load.total < load.maxTotal) return HEADER_BYTES_PER_TURN;
  return load.onConnection > 0 ? 0 : MIN_HEADER_BYTES_PER_TURN;
}

/**
 * Whether so many requests are open that another is refused at once.
 *
 * @example
 * ```ts
 * hasTooManyRequests(6_001, 3_000); // true
 * ```
 */
export function hasTooManyRequests(total: number, maxTotal: number): boolean {
  return total > maxTotal * REFUSED_FACTOR;
}

/**
 * Requests of a connection that may be forwarded at a time: with many open
 * requests, callers that pipeline get no more slots than others.
 *
 * @example
 * ```ts
 * maxForwarded(20, 3_000); // 4
 * maxForwarded(500, 3_000); // 1
 * ```
 */
export function maxForwarded(total: number, maxTotal: number): number {
  return total < maxTotal * BUSY_SHARE ? MAX_FORWARDED : 1;
}
