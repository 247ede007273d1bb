import type {Clock} from '@banyandrum/base/clock.js';

/** Number of routers among which limits for all routers are divided. */
export interface RouterCount {
  /** Records a count of working routers, from whichever source counts them. */
  record(count: number): void;
  /** The highest count of the current and the previous window; at least 1. */
  current(): number;
  /** Time since a count was last recorded, in ms; infinite if never. */
  ageMs(): number;
}

/**
 * A count remains effective for at least this time, in ms, even if later ones
 * are lower. A new leader starts counting from one: each router's share of
 * retries and connections would grow while the others still use theirs. Equals
 * the window of the retry budget in the known deployments.
 */
const WINDOW_MS = 10_000;

/**
 * Tracks the highest count of the recent past.
 *
 * @example
 * ```ts
 * const count = createRouterCount(clock);
 * count.record(59);
 * ```
 */
export function createRouterCount(clock: Clock): RouterCount {
  let windowStart = clock.now();
  let previousMax = 1;
  let currentMax = 1;
  let recordedAt = -Infinity;

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
      recordedAt = clock.now();
      currentMax = Math.max(currentMax, count);
    },
    current() {
      rotateWindow();
      return Math.max(previousMax, currentMax);
    },
    ageMs: () => clock.now() - recordedAt,
  };
}
