import type {Clock} from '@banyandrum/base/clock.js';

/** How late this process comes to its work. */
export interface LoopLag {
  /** By how much timers were late at the worst of the last moments, in ms. */
  ms(): number;
  stop(): void;
}

/** Timers are looked at this often, in ms. */
const STEP_MS = 25;
/** Lateness counts for so many steps: a quarter of a second. */
const STEPS = 10;

/**
 * Watches by how much timers are late. A process whose processor is used up
 * reads what callers sent long after they sent it.
 *
 * @example
 * ```ts
 * const lag = watchLag(clock);
 * if (lag.ms() > 150) refuse();
 * ```
 */
export function watchLag(clock: Clock): LoopLag {
  const lags: number[] = [];
  let dueAt = clock.now() + STEP_MS;

  const look = (): void => {
    const now = clock.now();
    lags.push(Math.max(0, now - dueAt));
    if (lags.length > STEPS) lags.shift();
    dueAt = now + STEP_MS;
    cancel = clock.after(STEP_MS, look);
  };
  let cancel = clock.after(STEP_MS, look);

  return {
    // What is late right now has not been noted yet.
    ms: () => Math.max(0, clock.now() - dueAt, ...lags),
    stop: () => cancel(),
  };
}

/**
 * Resolves once the process has looked at all its connections again: what was
 * closed behind a request that was read late is known by then.
 */
export async function nextTurn(): Promise<void> {
  // Data and the end behind it are read in two turns.
  for (let turn = 0; turn < 2; turn++) {
    await new Promise<void>(resolve => {
      setImmediate(resolve);
    });
  }
}
