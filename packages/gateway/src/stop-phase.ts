/** How far the stop of a router has gone, for the requests that it reads. */
export interface StopPhase {
  /** Monotonic time at which the router was told to stop; null before that. */
  since(): number | null;
  /** Monotonic time by which requests must have ended, in ms. */
  endsAt(): number;
  /** Whether a request that ends by `deadline` may be sent to a server. */
  maySend(deadline: number): boolean;
  /** Whether no request may be sent any more. */
  isOver(): boolean;
  /** The router stops, and answers requests until `endsAt`. */
  start(now: number, endsAt: number): void;
  /** From now on, only requests are sent that end by `endsAt`. */
  endSending(): void;
  /** From now on, no request is sent. */
  finish(): void;
}

/**
 * Creates the phase of a router that was not told to stop.
 *
 * @example
 * ```ts
 * const stop = createStopPhase();
 * stop.start(clock.now(), clock.now() + 5_600);
 * stop.endSending();
 * stop.maySend(clock.now() + 8_000); // false
 * ```
 */
export function createStopPhase(): StopPhase {
  let since: number | null = null;
  let endsAt = Infinity;
  /** Monotonic time after which no request that is sent may end, in ms. */
  let sendUntil = Infinity;

  return {
    since: () => since,
    endsAt: () => endsAt,
    maySend: deadline => deadline <= sendUntil,
    isOver: () => sendUntil === -Infinity,
    start(now, end) {
      since = now;
      endsAt = end;
    },
    endSending() {
      sendUntil = endsAt;
    },
    finish() {
      sendUntil = -Infinity;
    },
  };
}
