import type {Clock} from '@banyandrum/base/clock.js';
import {createHotKeySketch} from './hot-keys.js';

/** A key that is asked for much; never told higher than it is. */
export interface MeteredKey {
  readonly key: string;
  /** Requests a second. */
  readonly rate: number;
  /** Slots kept busy on average. */
  readonly busy: number;
}

/** Finds the hottest keys of one cell. */
export interface HotKeyMeter {
  /** One request for the key kept a slot busy for `busyMs`. */
  record(key: string, busyMs: number): void;
  /** The heaviest keys, the heaviest first. */
  hottest(): readonly MeteredKey[];
}

/** Keys remembered at most: any key above 1 / 1024 of the load is found. */
const SKETCH_CAPACITY = 1024;

const HALF_LIFE_MS = 15_000;

/** The number of keys that matter at once. */
const MAX_HOT_KEYS = 73;

/**
 * A new leader tells of no key before this: the first requests of any key
 * would make it look hot.
 */
const WARM_UP_MS = 10_000;

/**
 * Makes the meter of one cell, in bounded memory. Keys are weighed by the
 * time that they keep slots busy.
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
      return sketch.top(MAX_HOT_KEYS, now).map(({key, weight, error, count}) => ({
        key,
        rate: (count * 1000) / windowMs,
        busy: (weight - error) / windowMs,
      }));
    },
  };
}

/** The time that fading counts stand for, in ms. */
function effectiveWindowMs(ageMs: number): number {
  const timeConstant = HALF_LIFE_MS / Math.LN2;
  return timeConstant * (1 - Math.exp(-ageMs / timeConstant));
}
