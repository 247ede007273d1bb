import {KEY_COUNT, MAX_KEY, type KeyRange} from './table.js';

/** The request rate of a key. */
export interface KeyRate {
  readonly key: number;
  /** Requests per second. */
  readonly rate: number;
}

/** Measures the request rate of each key of a service. */
export interface KeyLoad {
  /** Whether no request has been counted yet. */
  isEmpty(): boolean;
  add(key: number, requests: number): void;
  /** Smoothed requests per second of a range. */
  rateOf(range: KeyRange): number;
  /**
   * Rates of all recently requested keys, in order. `queuedKeys` has the key of
   * each queued request; these add to their keys' rates, because a queue shows
   * an overloaded server before the smoothed counts do.
   */
  rates(queuedKeys: readonly number[]): readonly KeyRate[];
  /** Decays the counts; called at regular intervals. */
  decay(elapsedMs: number): void;
}

/** Time constants of the exponential decay of the two counts, in ms. */
const LONG_TERM_MS = 12_000;
const SHORT_TERM_MS = 1_500;
/**
 * Short-term count from which a key's short-term rate is used. Smaller counts
 * occur by chance, as keys in known deployments have less than one request per
 * second.
 */
const SIGNIFICANT_KEY_COUNT = 4;
/**
 * Sizes of blocks of adjacent keys that are also counted together, as powers of
 * two: small blocks for high request rates, larger ones for low rates. They
 * detect a key range that becomes busy although each of its keys gets hardly
 * more requests than by chance.
 */
const BLOCK_BITS = [5, 8] as const;
/** Short-term count from which a block's increase is significant. */
const SIGNIFICANT_BLOCK_COUNT = 8;
/** A block is busy if its count exceeds the long-term one by this factor. */
const BUSY_FACTOR = 2;
/** Time within which queued requests should be served, in ms. */
const QUEUE_DRAIN_MS = 2_000;
/** A key whose count decays below this is no longer tracked. */
const MIN_KEPT_COUNT = 0.02;
/**
 * Age after which the prefix sums of the rates are recomputed, in ms. Moving a
 * leaving server's keys needs the rates of all servers' ranges: summing them
 * key by key took 49 ms per move with 30,000 keys and 59 servers, and the
 * leader was unresponsive for seconds when nine servers left.
 */
const PREFIX_SUMS_MAX_AGE_MS = 100;

/**
 * Creates a load measurement with exponentially decaying counts per key.
 *
 * @example
 * ```ts
 * const load = createKeyLoad();
 * load.add(4711, 1);
 * ```
 */
export function createKeyLoad(): KeyLoad {
  /** Long-term counts: the usual load. */
  const longTerm = new Float32Array(KEY_COUNT);
  /** Short-term counts: show keys that have become busy or idle. */
  const shortTerm = new Float32Array(KEY_COUNT);
  /** The same counts for blocks of adjacent keys. */
  const blockLevels = BLOCK_BITS.map(bits => ({
    bits,
    longTerm: new Float32Array(KEY_COUNT >> bits),
    shortTerm: new Float32Array(KEY_COUNT >> bits),
  }));
  /**
   * Prefix sums: the total rate of all keys below each key, as of `summedMs`.
   */
  const prefixSums = new Float64Array(KEY_COUNT + 1);
  let summedMs = -Infinity;
  let observedMs = 0;
  let isEmpty = true;

  // The time that long-term counts represent: shorter than the time constant
  // until the load has been observed for that long.
  const longTermSeconds = (): number => {
    const share = 1 - Math.exp(-observedMs / LONG_TERM_MS);
    return Math.max(SHORT_TERM_MS, LONG_TERM_MS * share) / 1000;
  };

  const isBlockBusy = (key: number, seconds: number): boolean =>
    blockLevels.some(level => {
      const block = key >> level.bits;
      const count = level.shortTerm[block]!;
      if (count < SIGNIFICANT_BLOCK_COUNT) return false;
      const expectedCount =
        (level.longTerm[block]! / seconds) * (SHORT_TERM_MS / 1000);
      return count > expectedCount * BUSY_FACTOR;
    });

  const rateAt = (key: number, seconds: number): number => {
    const longTermRate = longTerm[key]! / seconds;
    const shortTermRate = shortTerm[key]! / (SHORT_TERM_MS / 1000);
    if (shortTerm[key]! >= SIGNIFICANT_KEY_COUNT || isBlockBusy(key, seconds)) {
      return Math.max(longTermRate, shortTermRate);
    }
    const expected = (longTermRate * SHORT_TERM_MS) / 1000;
    const hasBecomeIdle =
      expected >= SIGNIFICANT_KEY_COUNT &&
      shortTerm[key]! < expected / SIGNIFICANT_KEY_COUNT;
    return hasBecomeIdle ? shortTermRate : longTermRate;
  };

  const updatePrefixSums = (): void => {
    if (observedMs - summedMs < PREFIX_SUMS_MAX_AGE_MS) return;
    summedMs = observedMs;
    const seconds = longTermSeconds();
    let sum = 0;
    for (let key = 0; key < KEY_COUNT; key++) {
      if (longTerm[key]! > 0) sum += rateAt(key, seconds);
      prefixSums[key + 1] = sum;
    }
  };

  return {
    isEmpty: () => isEmpty,
    add(key, requests) {
      if (key < 0 || key > MAX_KEY) return;
      longTerm[key]! += requests;
      shortTerm[key]! += requests;
      for (const level of blockLevels) {
        level.longTerm[key >> level.bits]! += requests;
        level.shortTerm[key >> level.bits]! += requests;
      }
      isEmpty = false;
    },
    rateOf({from, to}) {
      updatePrefixSums();
      return prefixSums[to + 1]! - prefixSums[from]!;
    },
    rates(queuedKeys) {
      const queuedRates = new Map<number, number>();
      for (const key of queuedKeys) {
        queuedRates.set(
          key,
          (queuedRates.get(key) ?? 0) + 1000 / QUEUE_DRAIN_MS,
        );
      }
      const seconds = longTermSeconds();
      const rates: KeyRate[] = [];
      for (let key = 0; key < KEY_COUNT; key++) {
        if (longTerm[key] === 0) continue;
        const rate = rateAt(key, seconds) + (queuedRates.get(key) ?? 0);
        rates.push({key, rate});
      }
      return rates;
    },
    decay(elapsedMs) {
      observedMs += elapsedMs;
      const longTermFactor = Math.exp(-elapsedMs / LONG_TERM_MS);
      const shortTermFactor = Math.exp(-elapsedMs / SHORT_TERM_MS);
      for (let key = 0; key < KEY_COUNT; key++) {
        if (longTerm[key] === 0) continue;
        longTerm[key]! *= longTermFactor;
        shortTerm[key]! *= shortTermFactor;
        if (longTerm[key]! < MIN_KEPT_COUNT) longTerm[key] = shortTerm[key] = 0;
      }
      for (const level of blockLevels) {
        for (let block = 0; block < level.longTerm.length; block++) {
          level.longTerm[block]! *= longTermFactor;
          level.shortTerm[block]! *= shortTermFactor;
        }
      }
    },
  };
}
