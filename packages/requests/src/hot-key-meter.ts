import type {Clock} from '@banyandrum/base/clock.js';
import type {HotKey} from '@banyandrum/ownership/led-cell.js';
import type {HotKeyMeter} from './load-meter.js';

/** A sketch of the keys with the largest counts, which decay by a half-life. */
export interface KeySketch {
  add(key: string, now: number, weight?: number): void;
  top(
    count: number,
    now: number,
  ): readonly {
    readonly key: string;
    readonly weight: number;
    /** Maximum by which the weight is too high. */
    readonly error: number;
  }[];
}

export interface HotKeyMeterOptions {
  /** Creates an empty sketch: one for requests, one for their duration. */
  readonly createSketch: () => KeySketch;
  readonly halfLifeMs: number;
  readonly clock: Clock;
}

/** Maximum number of keys returned. */
const MAX_HOT_KEYS = 128;

/**
 * Creates a meter of the keys that keep the most slots busy, with lower bounds
 * of their load.
 *
 * @example
 * ```ts
 * const options = {capacity: 512, halfLifeMs: 20_000};
 * const meter = createHotKeyMeter({
 *   createSketch: () => createHotKeySketch(options),
 *   halfLifeMs: options.halfLifeMs,
 *   clock,
 * });
 * ```
 */
export function createHotKeyMeter(options: HotKeyMeterOptions): HotKeyMeter {
  const {clock, halfLifeMs} = options;
  const requests = options.createSketch();
  const busyMs = options.createSketch();

  /** Sum of a constant rate of 1 per ms with the decay. */
  const spanMs = halfLifeMs / Math.LN2;

  const perMs = (sketch: KeySketch, now: number): Map<string, number> => {
    const top = sketch.top(MAX_HOT_KEYS, now);
    return new Map(
      top.map(({key, weight, error}) => [key, (weight - error) / spanMs]),
    );
  };

  return {
    record(key, ms) {
      const now = clock.now();
      requests.add(key, now);
      busyMs.add(key, now, ms);
    },
    hottest() {
      const now = clock.now();
      const rates = perMs(requests, now);
      const hot: HotKey[] = [];
      for (const [key, busy] of perMs(busyMs, now)) {
        hot.push({key, rate: (rates.get(key) ?? 0) * 1000, busy});
      }
      return hot;
    },
  };
}
