import type {Clock} from '@banyandrum/base/clock.js';

/** A jump of the time of day that is less says nothing, in ms. */
const MIN_SUSPENSION_MS = 100;

/**
 * Time that also passes while the host is suspended, for beliefs that must not
 * outlast it. The steady clock doesn't count a suspension: a leader that was
 * suspended would think itself confirmed a moment ago, while another has long
 * been chosen, and would renew keys that went elsewhere. The time of day does
 * count it, but jumps: a jump forward is taken for a suspension, which ends a
 * belief too soon and does no harm, a jump back is ignored.
 *
 * @example
 * ```ts
 * const now = wakefulTime(clock, Date.now);
 * const age = now() - confirmedAt;
 * ```
 */
export function createSuspendAwareTime(clock: Clock, wallClock: () => number): () => number {
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
