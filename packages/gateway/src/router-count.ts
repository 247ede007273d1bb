import type {Clock} from '@banyandrum/base/clock.js';
import type {RouterTotal} from '@banyandrum/dispatch/router-total.js';

/** Number of routers among which limits for all routers are divided. */
export interface RouterCount extends RouterTotal {
  /** Records a leader's count of itself and the routers that follow it. */
  record(count: number): void;
}

/**
 * A count remains effective for at least this time, in ms, even if later ones
 * are lower. A new leader starts counting from one: each router's share of
 * retries and connections would grow while the others still use theirs. Equals
 * the window of the retry budget in the known deployments.
 */
const WINDOW_MS = 10_000;

/**
 * Tracks the highest count of the current and the previous window. Without a
 * leader the last count stays in effect: the routers that it counted still use
 * their shares.
 *
 * @example
 * ```ts
 * const count = createRouterCount(clock);
 * count.record(59);
 * ```
 */
export function createRouterCount(clock: Clock): RouterCount {
  let windowStart = -Infinity;
  let previousMax: number | null = null;
  let currentMax: number | null = null;
  let recordedAt = -Infinity;

  return {
    record(count) {
      recordedAt = clock.now();
      if (recordedAt - windowStart >= WINDOW_MS) {
        previousMax = currentMax;
        currentMax = null;
        windowStart = recordedAt;
      }
      currentMax = Math.max(currentMax ?? 1, count);
    },
    current: () =>
      currentMax === null ? null : Math.max(previousMax ?? 1, currentMax),
    ageMs: () => clock.now() - recordedAt,
  };
}
