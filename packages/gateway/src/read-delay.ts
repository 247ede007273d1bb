import type {Duplex} from 'node:stream';
import type {Clock} from '@banyandrum/base/clock.js';

/** How long a request may have waited unread. */
export interface ReadDelay {
  /** Upper bound, in ms. */
  readonly ms: number;
  /**
   * What bounds it: `poll`, the time since this process last read all open
   * connections; `accept`, the time since no connection waited to be accepted.
   */
  readonly by: 'poll' | 'accept';
}

/** Bounds how long requests wait before this process reads them. */
export interface ReadDelayMonitor {
  /** Call for each connection when it is accepted. */
  noteAccepted(socket: Duplex): void;
  /** The delay of a request that was read from `socket` just now. */
  delayOf(socket: Duplex): ReadDelay;
  /**
   * Upper bound of the delay of what is read from open connections now, in ms.
   */
  pollDelayMs(): number;
  /**
   * Whether a connection was accepted in each of the last turns, so that more
   * are probably waiting.
   */
  isAccepting(): boolean;
  /**
   * Runs `task` at the end of this turn of the event loop, after all callbacks
   * of its I/O.
   */
  afterTurn(task: () => void): void;
  /** The longest delay since the last call, in ms. */
  takeWorst(): ReadDelay;
  stop(): void;
}

/** Interval between timer marks, in ms. */
const MARK_MS = 25;
/** Shorter delays, in ms, can't be told from none: two marks and their lag. */
const MIN_DELAY_MS = 60;
/** Turns with an accepted connection after which more probably wait. */
const STANDING_TURNS = 2;

/**
 * Times of recurring callbacks that the event loop runs at most once a turn.
 * Between any two of them it has polled all open connections.
 */
interface Marks {
  last: number;
  previous: number;
  /** Connections accepted until `last`. */
  accepted: number;
}

/** State of a connection until its first request is read. */
interface Accepted {
  readonly acceptedAt: number;
  readonly queueEmptyAt: number;
}

/**
 * The part of a bound that counts against a request, in ms.
 *
 * @example
 * ```ts
 * countedDelayMs(40); // 0: a read without a delay has such a bound
 * countedDelayMs(700); // 700
 * ```
 */
export function countedDelayMs(boundMs: number): number {
  return boundMs > MIN_DELAY_MS ? boundMs : 0;
}

/**
 * The expected delay of a request, in ms, whose caller is known to wait still:
 * it may have arrived at any time within the bound, but not longer ago than its
 * caller's time limit. Counting the whole bound would refuse all callers after
 * pauses in series, as if each had waited since before the first.
 *
 * @example
 * ```ts
 * expectedDelayMs(700, 2_000); // 350
 * expectedDelayMs(1_900, 500); // 250
 * ```
 */
export function expectedDelayMs(boundMs: number, limitMs: number): number {
  return Math.min(countedDelayMs(boundMs), limitMs) / 2;
}

/**
 * Bounds the delay of reads from inside the process. The kernel doesn't tell
 * when data arrived, and the lag of timers says little about it: after a pause
 * timers run before sockets are read, and the event loop accepts only one
 * connection a turn, so that connections wait for seconds while no turn is long.
 *
 * Data that was read now arrived after the last complete poll before this one.
 * A new connection arrived after the last poll that found none to accept.
 *
 * `now` must advance while the host is suspended.
 *
 * @example
 * ```ts
 * const delays = monitorReadDelay(clock, now);
 * server.on('connection', delays.noteAccepted);
 * const {ms} = delays.delayOf(req.socket);
 * ```
 */
export function monitorReadDelay(
  clock: Pick<Clock, 'after'>,
  now: () => number,
): ReadDelayMonitor {
  const startedAt = now();
  const newMarks = (): Marks => ({
    ...{last: startedAt, previous: startedAt, accepted: 0},
  });
  const timers = newMarks();
  const turns = newMarks();
  const unread = new WeakMap<Duplex, Accepted>();
  let accepted = 0;
  /** Consecutive turns with an accepted connection. */
  let acceptingTurns = 0;
  let queueEmptyAt = startedAt;
  let worst: ReadDelay = {ms: 0, by: 'poll'};
  let isTurnMarked = false;
  let tasks: (() => void)[] = [];

  const mark = (marks: Marks): boolean => {
    const hasAccepted = accepted > marks.accepted;
    if (!hasAccepted) queueEmptyAt = Math.max(queueEmptyAt, marks.last);
    marks.previous = marks.last;
    marks.last = now();
    marks.accepted = accepted;
    return hasAccepted;
  };

  const markTurn = (): void => {
    if (isTurnMarked) return;
    isTurnMarked = true;
    setImmediate(() => {
      isTurnMarked = false;
      // The next turn shows whether further connections wait.
      const hasAccepted = mark(turns);
      acceptingTurns = hasAccepted ? acceptingTurns + 1 : 0;
      if (hasAccepted) markTurn();
      const due = tasks;
      tasks = [];
      for (const task of due) task();
    });
  };

  const markTimer = (): void => {
    mark(timers);
    cancel = clock.after(MARK_MS, markTimer);
  };
  let cancel = clock.after(MARK_MS, markTimer);

  /** A complete poll has taken place after this time and before this one. */
  const polledAfter = (): number => Math.max(timers.previous, turns.previous);

  const noteDelay = (delay: ReadDelay): ReadDelay => {
    if (delay.ms > worst.ms) worst = delay;
    return delay;
  };

  return {
    noteAccepted(socket) {
      accepted++;
      unread.set(socket, {acceptedAt: now(), queueEmptyAt});
      markTurn();
    },
    delayOf(socket) {
      markTurn();
      const polled = polledAfter();
      const connection = unread.get(socket);
      unread.delete(socket);
      if (connection !== undefined && connection.acceptedAt >= polled) {
        const ms = now() - connection.queueEmptyAt;
        return noteDelay({ms, by: 'accept'});
      }
      return noteDelay({ms: now() - polled, by: 'poll'});
    },
    pollDelayMs() {
      markTurn();
      return now() - polledAfter();
    },
    isAccepting: () => acceptingTurns >= STANDING_TURNS,
    afterTurn(task) {
      tasks.push(task);
      markTurn();
    },
    takeWorst() {
      const taken = worst;
      worst = {ms: 0, by: 'poll'};
      return taken;
    },
    stop: () => cancel(),
  };
}
