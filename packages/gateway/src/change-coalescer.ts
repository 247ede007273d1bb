import type {Clock} from '@banyandrum/base/clock.js';

/** Coalesces many changes into one notification. */
export interface ChangeCoalescer {
  /** Notifies in a microtask, before the event loop handles further I/O. */
  notifySoon(): void;
  /** Notifies within `COALESCE_MS`. */
  notifyLater(): void;
  /** Notifies synchronously, and cancels the pending notification. */
  notifyNow(): void;
}

/** Delay of notifications that may wait, in ms. */
const COALESCE_MS = 10;

/**
 * Creates a coalescer. Each notification makes its receiver review all waiting
 * requests: with one notification per change, a leader that lost a fifth of its
 * servers at once was too busy for anything else.
 *
 * @example
 * ```ts
 * const changes = createChangeCoalescer(clock, () => review());
 * changes.notifyLater();
 * ```
 */
export function createChangeCoalescer(
  clock: Clock,
  notify: () => void,
): ChangeCoalescer {
  let isQueued = false;
  let cancelTimer: (() => void) | null = null;

  const notifyNow = (): void => {
    cancelTimer?.();
    cancelTimer = null;
    isQueued = false;
    notify();
  };

  return {
    notifyNow,
    notifySoon() {
      if (isQueued) return;
      isQueued = true;
      queueMicrotask(() => {
        if (isQueued) notifyNow();
      });
    },
    notifyLater() {
      cancelTimer ??= clock.after(COALESCE_MS, notifyNow);
    },
  };
}
