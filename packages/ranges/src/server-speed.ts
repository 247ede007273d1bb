/** What the response times of a server depend on, apart from its load. */
export interface ServerSpeed {
  /** Requests that the server processes concurrently. */
  readonly slots: number;
  /** Mean processing time of a request, without queueing, in ms. */
  readonly serviceMs: number;
}

/**
 * Returns the requests per second that a server can process.
 *
 * @example
 * ```ts
 * maxRate({slots: 3, serviceMs: 250}); // 12
 * ```
 */
export function maxRate({slots, serviceMs}: ServerSpeed): number {
  return (slots * 1000) / serviceMs;
}

/** The share of a server's slots that requests at this rate occupy. */
export function utilization(server: ServerSpeed, rate: number): number {
  return (rate * server.serviceMs) / 1000 / server.slots;
}

/**
 * The rate whose move equalizes the utilization of two servers that differ by
 * `gap`.
 */
export function rateToEqualize(
  from: ServerSpeed,
  to: ServerSpeed,
  gap: number,
): number {
  return gap / (utilization(from, 1) + utilization(to, 1));
}
