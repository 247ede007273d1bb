import type {Clock} from '@banyandrum/base/clock.js';

/** Number of events in a window that ends now. */
export interface SlidingCount {
  add(): void;
  /** Events of the window and of up to one step before it. */
  atMost(): number;
  /** Events of the window without up to one step at its start. */
  atLeast(): number;
}

/** Number of steps that a window is divided into. */
const STEPS = 10;

/**
 * Counts events in steps of a tenth of the window, so that the memory used
 * doesn't depend on their number.
 *
 * @example
 * ```ts
 * const retries = createSlidingCount(clock, 10_000);
 * retries.add();
 * if (retries.atMost() < limit) sendAgain();
 * ```
 */
export function createSlidingCount(
  clock: Clock,
  windowMs: number,
): SlidingCount {
  const stepMs = windowMs / STEPS;
  /** Counts of the current step and of the `STEPS` before it, newest first. */
  let counts: readonly number[] = new Array<number>(STEPS + 1).fill(0);
  let currentStep = Math.floor(clock.now() / stepMs);

  const advance = (): void => {
    const step = Math.floor(clock.now() / stepMs);
    if (step === currentStep) return;
    const passed = Math.min(step - currentStep, counts.length);
    const empty = new Array<number>(passed).fill(0);
    counts = [...empty, ...counts.slice(0, counts.length - passed)];
    currentStep = step;
  };
  const sumOf = (steps: number): number => {
    advance();
    return counts.slice(0, steps).reduce((sum, count) => sum + count, 0);
  };

  return {
    add() {
      advance();
      counts = [counts[0]! + 1, ...counts.slice(1)];
    },
    atMost: () => sumOf(STEPS + 1),
    atLeast: () => sumOf(STEPS),
  };
}
