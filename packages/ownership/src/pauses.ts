import type {Clock} from '@banyandrum/base/clock.js';
import {sleep} from '@banyandrum/base/clock.js';

/** Notices that this process itself stood still. */
export interface PauseDetector {
  /** When the newest pause ended; `-Infinity` before the first. */
  resumedAt(): number;
}

const CHECK_INTERVAL_MS = 100;
const PAUSE_THRESHOLD_MS = 250;

/**
 * Watches for pauses of this process. After one, timers run before the
 * messages that wait in the sockets, so the others seem to have been silent
 * though they were not. A pause shows as a gap between two beats.
 *
 * @example
 * ```ts
 * const silentFor = now - Math.max(heardAt, pauses.awakeSince());
 * ```
 */
export function createPauseDetector(
  clock: Clock,
  signal: AbortSignal,
): PauseDetector {
  let lastBeat = clock.now();
  let awakeSince = -Infinity;

  // Also called by whoever asks: its timer may run before the next beat.
  const beat = (): void => {
    const now = clock.now();
    if (now - lastBeat > PAUSE_THRESHOLD_MS) awakeSince = now;
    lastBeat = now;
  };

  const run = async (): Promise<void> => {
    while (!signal.aborted) {
      beat();
      await sleep(clock, CHECK_INTERVAL_MS, signal);
    }
  };
  void run();

  return {
    resumedAt() {
      beat();
      return awakeSince;
    },
  };
}
