import type {Clock} from '@banyandrum/base/clock.js';

/** Tells of changes, many at a time. */
export interface ChangeCoalescer {
  /** Tells once this turn is over, before anything else is read. */
  notifySoon(): void;
  /** Tells within some milliseconds. */
  notifyLater(): void;
  /** Tells at once, of all until now. */
  notifyNow(): void;
}

/** Changes that may wait are told of together after this time, in ms. */
const COALESCE_MS = 10;

/**
 * Gathers changes. What hears of them looks at all requests that wait: told one
 * by one as a fifth of the servers left, it was late for everything else.
 *
 * @example
 * ```ts
 * const gathered = createGathered(clock, () => review());
 * gathered.later();
 * ```
 */
export function createChangeCoalescer(clock: Clock, notify: () => void): ChangeCoalescer {
  let isQueued = false;
  let cancelTimer: (() => void) | null = null;

  const now = (): void => {
    cancelTimer?.();
    cancelTimer = null;
    isQueued = false;
    notify();
  };

  return {
    notifyNow: now,
    notifySoon() {
      if (isQueued) return;
      isQueued = true;
      queueMicrotask(() => {
        if (isQueued) now();
      });
    },
    notifyLater() {
      cancelTimer ??= clock.after(COALESCE_MS, now);
    },
  };
}
