import type {Clock} from '@banyandrum/base/clock.js';
import type {HotKey} from '@banyandrum/ownership/led-cell.js';
import type {HotKeyMeter} from './load-meter.js';

/** A sketch of the heaviest keys whose counts fade with a half-life. */
export interface KeySketch {
  add(key: string, now: number, weight?: number): void;
  top(
    count: number,
    now: number,
  ): readonly {
    readonly key: string;
    readonly weight: number;
    /** The weight is at most so much too high. */
    readonly error: number;
  }[];
}

export interface HotKeyMeterOptions {
  /** Makes an empty sketch; one counts requests, one the time they took. */
  readonly createSketch: () => KeySketch;
  readonly halfLifeMs: number;
  readonly clock: Clock;
}

/** Keys named at most. */
const HOTTEST = 128;

/**
 * Makes a meter of hot keys: the keys that keep the most slots busy, with
 * what they cost at least.
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

  /** A steady rate adds up to this many times itself. */
  const spanMs = halfLifeMs / Math.LN2;

  const perMs = (sketch: KeySketch, now: number): Map<string, number> => {
    const top = sketch.top(HOTTEST, now);
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
