import {sleep, type Clock} from '@banyandrum/base/clock.js';
import type {Emit} from '@banyandrum/dispatch/events.js';

/** Pause after an unexpected error, in ms, so that a loop can't spin. */
const ERROR_PAUSE_MS = 200;

/**
 * Runs `task` repeatedly, with a pause of `pauseMs`, while `goesOn` returns
 * true. The first run starts in a microtask, so that the task may use variables
 * that are initialized after this call. An unexpected error is logged and
 * doesn't end the loop: the process would otherwise keep serving from outdated
 * state without anyone noticing.
 *
 * @example
 * ```ts
 * repeat({clock, emit, name: 'servers', pauseMs: 400, goesOn}, readServers);
 * ```
 */
export function repeat(
  {clock, emit, name, pauseMs, goesOn}: RepeatConfig,
  task: () => Promise<void>,
): void {
  const run = async (): Promise<void> => {
    await Promise.resolve();
    while (goesOn()) {
      try {
        await task();
      } catch (err) {
        logLoopError(emit, name, err as Error);
        await sleep(clock, ERROR_PAUSE_MS);
      }
      const ms = typeof pauseMs === 'number' ? pauseMs : pauseMs();
      if (ms > 0) await sleep(clock, ms);
    }
  };
  void run();
}

/**
 * Logs an unexpected error of a loop.
 *
 * @example
 * ```ts
 * task().catch(err => logLoopError(emit, 'servers', err));
 * ```
 */
export function logLoopError(
  emit: Emit,
  loop: string,
  {stack, message}: Error,
): void {
  emit('internal-error', {loop, detail: stack ?? message});
}

/** Options of a loop. */
export interface RepeatConfig {
  readonly clock: Clock;
  readonly emit: Emit;
  /** Names the loop in the log. */
  readonly name: string;
  /** The pause after each run, in ms, or a function that returns it. */
  readonly pauseMs: number | (() => number);
  /** Checked before each run; the loop ends when it returns false. */
  goesOn(): boolean;
}
