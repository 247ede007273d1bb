import type {Clock} from '@banyandrum/base/clock.js';

/** How many routers share what is allowed to all of them together. */
export interface RouterCount {
  /** So many are at work, by one who counts them. */
  note(count: number): void;
  /** The most that were at work lately; 1 at least. */
  current(): number;
}

/**
 * A count is believed for this time at least, in ms, though a later one is
 * lower: a new leader counts from nothing, and each router's share of retries
 * and connections would grow while the others go on using theirs. The window
 * of the retry budget in the deployments known.
 */
const MEMORY_MS = 10_000;

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
  let since = clock.now();
  let before = 1;
  let most = 1;

  const roll = (): void => {
    const age = clock.now() - since;
    if (age < MEMORY_MS) return;
    before = age < 2 * MEMORY_MS ? most : 1;
    most = 1;
    since = clock.now();
  };

  return {
    note(count) {
      roll();
      most = Math.max(most, count);
    },
    current() {
      roll();
      return Math.max(before, most);
    },
  };
}
