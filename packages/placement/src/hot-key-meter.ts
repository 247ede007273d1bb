import type {Clock} from '@banyandrum/base/clock.js';
import {createHotKeySketch} from './hot-keys.js';

/** A frequently requested key. Its figures are lower bounds. */
export interface MeteredKey {
  readonly key: string;
  /** Requests per second. */
  readonly rate: number;
  /** Slots kept busy on average. */
  readonly busy: number;
}

/** Measures the hottest keys of one cell. */
export interface HotKeyMeter {
  /** Records a request for the key that kept a slot busy for `busyMs`. */
  record(key: string, busyMs: number): void;
  /** The keys with the highest load, in descending order. */
  hottest(): readonly MeteredKey[];
}

/** Maximum keys tracked; any key with over 1 / 1024 of the load is found. */
const SKETCH_CAPACITY = 1024;

const HALF_LIFE_MS = 15_000;

/** Maximum number of keys reported as hot. */
const MAX_HOT_KEYS = 73;

/**
 * A new leader reports no keys before this time: after a few requests any key
 * would seem hot.
 */
const WARM_UP_MS = 10_000;

/**
 * Creates the meter of one cell. It uses bounded memory. Keys are weighted by
 * the time for which they keep slots busy.
 *
 * @example
 * ```ts
 * const meter = createHotKeyMeter(clock);
 * meter.record('claim-9', 12);
 * meter.hottest()[0]?.busy;
 * ```
 */
export function createHotKeyMeter(clock: Clock): HotKeyMeter {
  const startedAt = clock.now();
  const sketch = createHotKeySketch({
    capacity: SKETCH_CAPACITY,
    halfLifeMs: HALF_LIFE_MS,
  });
  return {
    record: (key, busyMs) => sketch.add(key, clock.now(), busyMs),
    hottest() {
      const now = clock.now();
      const age = now - startedAt;
      if (age < WARM_UP_MS) return [];
      const windowMs = effectiveWindowMs(age);
      return sketch
        .top(MAX_HOT_KEYS, now)
        .map(({key, weight, error, count}) => ({
          key,
          rate: (count * 1000) / windowMs,
          busy: (weight - error) / windowMs,
        }));
    },
  };
}

/** Length of the window that the decayed counts represent, in ms. */
function effectiveWindowMs(ageMs: number): number {
  const timeConstant = HALF_LIFE_MS / Math.LN2;
  return timeConstant * (1 - Math.exp(-ageMs / timeConstant));
}
