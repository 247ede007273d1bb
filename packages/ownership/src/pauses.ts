import type {Clock} from '@banyandrum/base/clock.js';
import {sleep} from '@banyandrum/base/clock.js';

/** Detects that this process itself was paused. */
export interface PauseDetector {
  /** When the latest pause ended; `-Infinity` before the first. */
  resumedAt(): number;
}

const CHECK_INTERVAL_MS = 100;
const PAUSE_THRESHOLD_MS = 250;

/**
 * Creates a detector for pauses of this process. After a pause, timers run
 * before the messages that wait in the sockets are read, so other processes
 * seem to have been silent although they were not. A pause shows as a gap
 * between two periodic checks.
 *
 * @example
 * ```ts
 * const silentFor = now - Math.max(heardAt, pauses.resumedAt());
 * ```
 */
export function createPauseDetector(
  clock: Clock,
  signal: AbortSignal,
): PauseDetector {
  let checkedAt = clock.now();
  let resumedAt = -Infinity;

  // Also called by `resumedAt`: a caller's timer may run before the next check.
  const check = (): void => {
    const now = clock.now();
    if (now - checkedAt > PAUSE_THRESHOLD_MS) resumedAt = now;
    checkedAt = now;
  };

  const run = async (): Promise<void> => {
    while (!signal.aborted) {
      check();
      await sleep(clock, CHECK_INTERVAL_MS, signal);
    }
  };
  void run();

  return {
    resumedAt() {
      check();
      return resumedAt;
    },
  };
}
