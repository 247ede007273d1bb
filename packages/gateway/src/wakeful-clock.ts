import type {Clock} from '@banyandrum/base/clock.js';

/** A jump of the time of day that is less says nothing, in ms. */
const JUMP_MS = 100;

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
export function wakefulTime(clock: Clock, today: () => number): () => number {
  let steadyAt = clock.now();
  let todayAt = today();
  let suspendedMs = 0;
  return () => {
    const steady = clock.now();
    const day = today();
    const missed = day - todayAt - (steady - steadyAt);
    if (missed > JUMP_MS) suspendedMs += missed;
    steadyAt = steady;
    todayAt = day;
    return steady + suspendedMs;
  };
}
