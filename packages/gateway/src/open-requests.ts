import type {Emit} from '@banyandrum/dispatch/events.js';

/** A request that was read and whose response is not fully written. */
export interface OpenRequest {
  readonly id: string;
  /** Monotonic time at which it was read, in ms. */
  readonly readAt: number;
  /** Name of its route; null until one is matched. */
  routeName(): string | null;
  /** Whether its response only waits to be written. */
  isAnswered(): boolean;
  /**
   * Monotonic time by which it ends unless this router stops before, in ms;
   * null until its route is known, when it is checked.
   */
  deadline(): number | null;
  /**
   * Makes it end at once, with an answer, unless a server works on it; it is
   * not sent to another one then.
   */
  stopSending(): void;
  /** Makes it end at once, with an answer that tells whether it may have run. */
  breakOff(): void;
}

/** The requests of a router that are open. */
export interface OpenRequests {
  add(req: OpenRequest): void;
  delete(req: OpenRequest): void;
  count(): number;
  /** How many of them have a response that only waits to be written. */
  unwrittenCount(): number;
  /**
   * Sends none of them to a server any more that may not end before `endsAt`, a
   * monotonic time in ms.
   */
  stopSending(endsAt: number): void;
  /** Makes all of them end at once, each with an answer. */
  breakOff(): void;
  /** Logs those that are open now as cut off, since the process ends. */
  logCut(now: number): void;
}

/** Requests that are logged as cut off; `stopped` tells how many there are. */
const MAX_CUT_LINES = 200;

/**
 * Keeps the requests that are open, so that none ends without a line in the
 * log.
 *
 * @example
 * ```ts
 * const openRequests = createOpenRequests(emit);
 * openRequests.add(req);
 * openRequests.logCut(clock.now());
 * ```
 */
export function createOpenRequests(emit: Emit): OpenRequests {
  const open = new Set<OpenRequest>();

  const logRequest = (req: OpenRequest, now: number): void =>
    emit('request', {
      ...{id: req.id, route: req.routeName(), outcome: 'cut'},
      ...{tookMs: Math.round(now - req.readAt), isAnswered: req.isAnswered()},
    });

  return {
    add: req => void open.add(req),
    delete: req => void open.delete(req),
    count: () => open.size,
    unwrittenCount: () => [...open].filter(req => req.isAnswered()).length,
    stopSending(endsAt) {
      for (const req of [...open]) {
        const deadline = req.deadline();
        if (deadline !== null && deadline > endsAt) req.stopSending();
      }
    },
    breakOff() {
      for (const req of [...open]) req.breakOff();
    },
    logCut(now) {
      for (const req of [...open].slice(0, MAX_CUT_LINES)) logRequest(req, now);
    },
  };
}
