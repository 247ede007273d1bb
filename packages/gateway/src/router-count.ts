import type {Clock} from '@banyandrum/base/clock.js';

/** How many routers share what is allowed to all of them together. */
export interface RouterCount {
  /** So many are at work, by one who counts them. */
  record(count: number): void;
  /** The most that were at work lately; 1 at least. */
  current(): number;
}

/**
 * A count is believed for this time at least, in ms, though a later one is
 * lower: a new leader counts from nothing, and each router's share of retries
 * and connections would grow while the others go on using theirs. The window
 * of the retry budget in the deployments known.
 */
const WINDOW_MS = 10_000;

/**
 * Keeps the largest count of the last times.
 *
 * @example
 * ```ts
 * const count = createRouterCount(clock);
 * count.note(59);
 * ```
 */
export function createRouterCount(clock: Clock): RouterCount {
  let windowStart = clock.now();
  let previousMax = 1;
  let currentMax = 1;

  const rotateWindow = (): void => {
    const age = clock.now() - windowStart;
    if (age < WINDOW_MS) return;
    previousMax = age < 2 * WINDOW_MS ? currentMax : 1;
    currentMax = 1;
    windowStart = clock.now();
  };

  return {
    record(count) {
      rotateWindow();
      currentMax = Math.max(currentMax, count);
    },
    current() {
      rotateWindow();
      return Math.max(previousMax, currentMax);
    },
  };
}
