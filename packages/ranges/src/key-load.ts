import {KEY_COUNT, MAX_KEY, type KeyRange} from './table.js';

/** A key's load. */
export interface KeyRate {
  readonly key: number;
  /** Requests a second. */
  readonly rate: number;
}

/** How often each key of a service is asked for. */
export interface KeyLoad {
  /** Whether no key was ever asked for. */
  isEmpty(): boolean;
  add(key: number, requests: number): void;
  /** Requests a second on the range, smoothed. */
  rateOf(range: KeyRange): number;
  /**
   * All keys that were asked for lately, in order. Requests that wait now, a
   * key for each, add to their keys' load: they tell of a busy server before
   * smoothed counts do.
   */
  rates(waiting: readonly number[]): readonly KeyRate[];
  /** Forgets a part of what is older; called at a steady pace. */
  decay(elapsedMs: number): void;
}

/** Requests count for about these times, in ms. */
const LONG_TERM_MS = 12_000;
const SHORT_TERM_MS = 1_500;
/**
 * Recent requests that say more than the usual load: fewer come together by
 * chance, as a key in the deployments known has under one request a second.
 */
const SIGNIFICANT_KEY_COUNT = 4;
/**
 * Neighbours that are looked at together, as powers of two: few where requests
 * are many, more where they are few. A stretch of keys becomes busy at once,
 * each of them asked for hardly more often than by chance.
 */
const BLOCK_BITS = [5, 8] as const;
/** Recent requests for neighbours that say more than the usual load. */
const SIGNIFICANT_BLOCK_COUNT = 8;
/** Neighbours are busy where they are asked for so many times as often. */
const BUSY_FACTOR = 2;
/** Requests that wait should be served within about this time, in ms. */
const QUEUE_DRAIN_MS = 2_000;
/** A key is forgotten below this count. */
const MIN_KEPT_COUNT = 0.02;
/**
 * Sums over ranges are made anew after this time, in ms. A server that leaves
 * has its keys' load asked for at every other server: summed key by key that
 * took 49 ms a move with 30,000 keys and 59 servers, and the leader fell silent
 * for seconds when nine servers left.
 */
const PREFIX_SUMS_MAX_AGE_MS = 100;

/**
 * Counts that fade exponentially, one for each key that is asked for.
 *
 * @example
 * ```ts
 * const load = createKeyLoad();
 * load.add(4711, 1);
 * ```
 */
export function createKeyLoad(): KeyLoad {
  /** Fading within some seconds: the usual load. */
  const usual = new Float32Array(KEY_COUNT);
  /** Fading within a second or two: what became busy, or stopped to be. */
  const recent = new Float32Array(KEY_COUNT);
  /** The same for neighbours together. */
  const levels = BLOCK_BITS.map(bits => ({
    bits,
    usual: new Float32Array(KEY_COUNT >> bits),
    recent: new Float32Array(KEY_COUNT >> bits),
  }));
  /** Rates of all keys below each key, as they were at `summedMs`. */
  const sums = new Float64Array(KEY_COUNT + 1);
  let summedMs = -Infinity;
  let observedMs = 0;
  let isEmpty = true;

  // What was watched for a short time only is scaled up to a rate.
  const usualSeconds = (): number => {
    const share = 1 - Math.exp(-observedMs / LONG_TERM_MS);
    return Math.max(SHORT_TERM_MS, LONG_TERM_MS * share) / 1000;
  };

  const isBusyAround = (key: number, seconds: number): boolean =>
    levels.some(level => {
      const block = key >> level.bits;
      const count = level.recent[block]!;
      if (count < SIGNIFICANT_BLOCK_COUNT) return false;
      const usualCount = (level.usual[block]! / seconds) * (SHORT_TERM_MS / 1000);
      return count > usualCount * BUSY_FACTOR;
    });

  const rateAt = (key: number, seconds: number): number => {
    const usualRate = usual[key]! / seconds;
    const recentRate = recent[key]! / (SHORT_TERM_MS / 1000);
    if (recent[key]! >= SIGNIFICANT_KEY_COUNT || isBusyAround(key, seconds)) {
      return Math.max(usualRate, recentRate);
    }
    const expected = (usualRate * SHORT_TERM_MS) / 1000;
    const hasCooled = expected >= SIGNIFICANT_KEY_COUNT && recent[key]! < expected / SIGNIFICANT_KEY_COUNT;
    return hasCooled ? recentRate : usualRate;
  };

  const sumUp = (): void => {
    if (observedMs - summedMs < PREFIX_SUMS_MAX_AGE_MS) return;
    summedMs = observedMs;
    const seconds = usualSeconds();
    let sum = 0;
    for (let key = 0; key < KEY_COUNT; key++) {
      if (usual[key]! > 0) sum += rateAt(key, seconds);
      sums[key + 1] = sum;
    }
  };

  return {
    isEmpty: () => isEmpty,
    add(key, requests) {
      if (key < 0 || key > MAX_KEY) return;
      usual[key]! += requests;
      recent[key]! += requests;
      for (const level of levels) {
        level.usual[key >> level.bits]! += requests;
        level.recent[key >> level.bits]! += requests;
      }
      isEmpty = false;
    },
    rateOf({from, to}) {
      sumUp();
      return sums[to + 1]! - sums[from]!;
    },
    rates(waiting) {
      const added = new Map<number, number>();
      for (const key of waiting) {
        added.set(key, (added.get(key) ?? 0) + 1000 / QUEUE_DRAIN_MS);
      }
      const seconds = usualSeconds();
      const rates: KeyRate[] = [];
      for (let key = 0; key < KEY_COUNT; key++) {
        if (usual[key] === 0) continue;
        const rate = rateAt(key, seconds) + (added.get(key) ?? 0);
        rates.push({key, rate});
      }
      return rates;
    },
    decay(elapsedMs) {
      observedMs += elapsedMs;
      const usualKept = Math.exp(-elapsedMs / LONG_TERM_MS);
      const recentKept = Math.exp(-elapsedMs / SHORT_TERM_MS);
      for (let key = 0; key < KEY_COUNT; key++) {
        if (usual[key] === 0) continue;
        usual[key]! *= usualKept;
        recent[key]! *= recentKept;
        if (usual[key]! < MIN_KEPT_COUNT) usual[key] = recent[key] = 0;
      }
      for (const level of levels) {
        for (let block = 0; block < level.usual.length; block++) {
          level.usual[block]! *= usualKept;
          level.recent[block]! *= recentKept;
        }
      }
    },
  };
}
