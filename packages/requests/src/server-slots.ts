import type {Clock} from '@banyandrum/base/clock.js';

/**
 * The requests in flight at one server: never more than its slots, and fewer
 * where it proved that it can't take them.
 */
export interface ServerSlots {
  /** Whether one more may be sent now. */
  isFree(): boolean;
  take(): void;
  give(): void;
  inFlight(): number;
  /** How many may be in flight now. */
  window(): number;
  /** Monotonic time in ms until which nothing may be sent. */
  pausedUntil(): number;
  /** An answer came. */
  succeeded(): void;
  /** The server refused a request sent at `sentAt` for lack of capacity. */
  shed(sentAt: number, retryAfterMs: number): void;
  /** The server refused for another reason, or could not be reached. */
  pause(): void;
  /** Follows the inventory. */
  resize(slots: number): void;
}

/** Part of the window that is left after the server shed load. */
const SHED_FACTOR = 0.6;

/**
 * What the window gains by each answer, shared among those in flight: some
 * ten answers win one slot back. Growing faster would find the limit again
 * at every other request.
 */
const GROWTH = 0.1;

const FIRST_PAUSE_MS = 10;
const MAX_PAUSE_MS = 500;

/**
 * Makes the count of one server's slots, with additive increase and
 * multiplicative decrease of its window.
 *
 * @example
 * ```ts
 * const slots = createServerSlots(2, clock);
 * if (slots.isFree()) slots.take();
 * ```
 */
export function createServerSlots(slots: number, clock: Clock): ServerSlots {
  let limit = Math.max(1, slots);
  let window = limit;
  let used = 0;
  let cutAt = -Infinity;
  let refusals = 0;
  let pausedUntil = -Infinity;

  const pause = (atLeastMs: number): void => {
    const pauseMs = FIRST_PAUSE_MS * 2 ** Math.min(refusals++, 10);
    const ms = Math.min(MAX_PAUSE_MS, Math.max(pauseMs, atLeastMs));
    pausedUntil = Math.max(pausedUntil, clock.now() + ms);
  };

  return {
    isFree() {
      if (used >= Math.floor(window)) return false;
      return pausedUntil === -Infinity || clock.now() >= pausedUntil;
    },
    take() {
      used++;
    },
    give() {
      used--;
    },
    inFlight: () => used,
    window: () => Math.floor(window),
    pausedUntil: () => pausedUntil,
    succeeded() {
      refusals = 0;
      window = Math.min(limit, window + GROWTH / window);
    },
    shed(sentAt, retryAfterMs) {
      pause(retryAfterMs);
      // Those sent together are refused together; they tell one thing.
      if (sentAt < cutAt) return;
      cutAt = clock.now();
      window = Math.max(1, window * SHED_FACTOR);
    },
    pause: () => pause(0),
    resize(count) {
      if (count === limit || count < 1) return;
      window = Math.min(count, window + Math.max(0, count - limit));
      limit = count;
    },
  };
}
