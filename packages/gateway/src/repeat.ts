import {sleep, type Clock} from '@banyandrum/base/clock.js';
import type {Emit} from '@banyandrum/dispatch/events.js';

/** Pause after a defect, so that one that repeats can't take all time, in ms. */
const ERROR_PAUSE_MS = 200;

/**
 * Does `task` again and again, with a pause of `ms`, while `goesOn`. It begins
 * once the code that starts it has come to a pause: what the task calls may be
 * made after the loop. A defect
 * in one turn must not end the loop: the process would go on serving by what
 * it knew then, for good, and nobody would see it.
 *
 * @example
 * ```ts
 * repeat({clock, emit, name: 'servers', ms: 400, goesOn}, readServers);
 * ```
 */
export function repeat(
  {clock, emit, name, pauseMs: ms, goesOn}: RepeatConfig,
  task: () => Promise<void>,
): void {
  const run = async (): Promise<void> => {
    await Promise.resolve();
    while (goesOn()) {
      try {
        await task();
      } catch (err) {
        const {stack, message} = err as Error;
        emit('internal-error', {loop: name, detail: stack ?? message});
        await sleep(clock, ERROR_PAUSE_MS);
      }
      if (ms > 0) await sleep(clock, ms);
    }
  };
  void run();
}

/** What a loop is. */
export interface RepeatConfig {
  readonly clock: Clock;
  readonly emit: Emit;
  /** Names the loop in the log. */
  readonly name: string;
  readonly pauseMs: number;
  goesOn(): boolean;
}
