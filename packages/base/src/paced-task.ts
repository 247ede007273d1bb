import type {Clock} from './clock.js';

/** A task that many changes ask for, and whose cost grows with the load. */
export interface PacedTask {
  /** Runs the task now, or once its share of the time allows it. */
  run(): void;
  stop(): void;
}

/**
 * Creates a task that takes at most `share` of the process's time: after a run
 * it pauses in proportion to what that run took, and requests meanwhile are
 * coalesced into one. A run that takes next to nothing delays nothing. Without
 * it, a process that is short of processor time spends what it has on reviews.
 *
 * @example
 * ```ts
 * const review = createPacedTask(clock, allocator.reevaluate, 0.1);
 * list.subscribe(review.run);
 * ```
 */
export function createPacedTask(
  clock: Clock,
  task: () => void,
  share: number,
): PacedTask {
  let nextAt = -Infinity;
  let cancelTimer: (() => void) | null = null;

  const runNow = (): void => {
    cancelTimer?.();
    cancelTimer = null;
    const startedAt = clock.now();
    task();
    const endedAt = clock.now();
    nextAt = endedAt + pauseAfterMs(endedAt - startedAt, share);
  };

  return {
    run() {
      const waitMs = nextAt - clock.now();
      if (waitMs <= 0) return runNow();
      cancelTimer ??= clock.after(waitMs, runNow);
    },
    stop() {
      cancelTimer?.();
      cancelTimer = null;
    },
  };
}

/**
 * Pause after a run of `tookMs` with which runs take `share` of the time, in ms.
 *
 * @example
 * ```ts
 * pauseAfterMs(10, 0.1); // 90
 * ```
 */
export function pauseAfterMs(tookMs: number, share: number): number {
  return tookMs / share - tookMs;
}
