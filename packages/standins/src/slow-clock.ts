import {createClock, type Clock} from '@banyandrum/base/clock.js';

/**
 * A clock of which a millisecond lasts `factor` real ones. Processes that share
 * a host with much other work keep up by it, so that a test can count their
 * work without being late itself.
 *
 * @example
 * ```ts
 * const clock = createSlowClock(5);
 * await sleep(clock, 100); // takes half a second
 * ```
 */
export function createSlowClock(factor: number): Clock {
  const real = createClock();
  return {
    now: () => real.now() / factor,
    after: (ms, task) => real.after(ms * factor, task),
  };
}
