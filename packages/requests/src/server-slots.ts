import type {Clock} from '@banyandrum/base/clock.js';

/**
 * The requests in flight at one server: at most its slots, and fewer after it
 * refused requests.
 */
export interface ServerSlots {
  /** Whether another request may be sent now. */
  isFree(): boolean;
  take(): void;
  give(): void;
  inFlight(): number;
  /** Present maximum of requests in flight. */
  window(): number;
  /** Monotonic time in ms until which nothing may be sent. */
  pausedUntil(): number;
  /** Records an answer. */
  succeeded(): void;
  /** Records that the server shed a request that was sent at `sentAt`. */
  shed(sentAt: number, retryAfterMs: number): void;
  /** Records another refusal, or that the server could not be reached. */
  pause(): void;
  /** Sets the number of slots from the inventory. */
  resize(slots: number): void;
}

/** Factor of the window after the server shed load. */
const SHED_FACTOR = 0.6;

/**
 * Growth of the window per answer, divided by the window: about ten rounds of
 * answers regain one slot. With faster growth, the server would shed load again
 * at every other request.
 */
const GROWTH = 0.1;

const FIRST_PAUSE_MS = 10;
const MAX_PAUSE_MS = 500;

/**
 * Creates the slots of one server. The window has additive increase and
 * multiplicative decrease.
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
      // Requests that were sent together and refused together count once.
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
