import type {Clock} from '@banyandrum/base/clock.js';

/** Smaller jumps of the wall clock are ignored, in ms. */
const MIN_SUSPENSION_MS = 100;

/**
 * Creates a clock, in ms, that also advances while the host is suspended, for
 * state that must expire meanwhile. The monotonic clock stops during a
 * suspension: a resumed leader would believe that it had been confirmed a
 * moment ago and renew leases of keys that another leader has since reassigned.
 * The wall clock advances, but can be set: a jump forward counts as a
 * suspension, which only makes state expire early, and a jump back is ignored.
 *
 * @example
 * ```ts
 * const now = createSuspendAwareTime(clock, Date.now);
 * const age = now() - confirmedAt;
 * ```
 */
export function createSuspendAwareTime(
  clock: Clock,
  wallClock: () => number,
): () => number {
  let lastMonotonic = clock.now();
  let lastWall = wallClock();
  let suspendedMs = 0;
  return () => {
    const monotonic = clock.now();
    const wall = wallClock();
    const gapMs = wall - lastWall - (monotonic - lastMonotonic);
    if (gapMs > MIN_SUSPENSION_MS) suspendedMs += gapMs;
    lastMonotonic = monotonic;
    lastWall = wall;
    return monotonic + suspendedMs;
  };
}
