import {MAX_KEY, type KeyRange} from './table.js';

/** A key's load. */
export interface KeyRate {
  readonly key: number;
  /** Requests a second. */
  readonly rate: number;
}

/** How often each key of a service is asked for. */
export interface KeyLoad {
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
  fade(elapsedMs: number): void;
}

interface Counts {
  /** Fading within some seconds: the usual load. */
  usual: number;
  /** Fading within a second or two: what became busy, or stopped to be. */
  recent: number;
}

/** Requests count for about these times, in ms. */
const USUAL_MS = 12_000;
const RECENT_MS = 1_500;
/**
 * Recent requests that say more than the usual load: fewer come together by
 * chance, as a key in the deployments known has under one request a second.
 */
const MANY = 4;
/** Requests that wait should be served within about this time, in ms. */
const WAITING_MS = 2_000;
/** A key is forgotten below this count. */
const FORGOTTEN = 0.02;

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
  const keys = new Map<number, Counts>();
  let observedMs = 0;
  // What was watched for a short time only is scaled up to a rate.
  const usualSeconds = (): number => {
    const share = 1 - Math.exp(-observedMs / USUAL_MS);
    return Math.max(RECENT_MS, USUAL_MS * share) / 1000;
  };

  const rate = ({usual, recent}: Counts): number => {
    const usualRate = usual / usualSeconds();
    const recentRate = recent / (RECENT_MS / 1000);
    if (recent >= MANY) return Math.max(usualRate, recentRate);
    const expected = (usualRate * RECENT_MS) / 1000;
    const hasCooled = expected >= MANY && recent < expected / MANY;
    return hasCooled ? recentRate : usualRate;
  };

  return {
    add(key, requests) {
      if (key < 0 || key > MAX_KEY) return;
      const counts = keys.get(key) ?? {usual: 0, recent: 0};
      counts.usual += requests;
      counts.recent += requests;
      keys.set(key, counts);
    },
    rateOf({from, to}) {
      let sum = 0;
      for (const [key, counts] of keys) {
        if (from <= key && key <= to) sum += rate(counts);
      }
      return sum;
    },
    rates(waiting) {
      const added = new Map<number, number>();
      for (const key of waiting) {
        added.set(key, (added.get(key) ?? 0) + 1000 / WAITING_MS);
      }
      return [...keys]
        .map(([key, counts]) => ({
          key,
          rate: rate(counts) + (added.get(key) ?? 0),
        }))
        .sort((a, b) => a.key - b.key);
    },
    fade(elapsedMs) {
      observedMs += elapsedMs;
      const usualKept = Math.exp(-elapsedMs / USUAL_MS);
      const recentKept = Math.exp(-elapsedMs / RECENT_MS);
      for (const [key, counts] of keys) {
        counts.usual *= usualKept;
        counts.recent *= recentKept;
        if (counts.usual < FORGOTTEN) keys.delete(key);
      }
    },
  };
}
