import type {Clock} from '@banyandrum/base/clock.js';

/** Tells of changes, many at a time. */
export interface Gathered {
  /** Tells once this turn is over, before anything else is read. */
  soon(): void;
  /** Tells within some milliseconds. */
  later(): void;
  /** Tells at once, of all until now. */
  now(): void;
}

/** Changes that may wait are told of together after this time, in ms. */
const GATHER_MS = 10;

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
export function createGathered(clock: Clock, tell: () => void): Gathered {
  let isSoon = false;
  let cancelLater: (() => void) | null = null;

  const now = (): void => {
    cancelLater?.();
    cancelLater = null;
    isSoon = false;
    tell();
  };

  return {
    now,
    soon() {
      if (isSoon) return;
      isSoon = true;
      queueMicrotask(() => {
        if (isSoon) now();
      });
    },
    later() {
      cancelLater ??= clock.after(GATHER_MS, now);
    },
  };
}
