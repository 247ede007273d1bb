import {MAX_KEY, type KeyRange} from './table.js';

/** How often each key of a service is asked for. */
export interface KeyLoad {
  add(key: number, requests: number): void;
  /** Requests a second on the range, smoothed. */
  rateOf(range: KeyRange): number;
  /** The same of one key. */
  rateOfKey(key: number): number;
  /** Forgets a part of what is older; called at a steady pace. */
  fade(elapsedMs: number): void;
}

/** Requests count for about this time, in ms. */
const MEMORY_MS = 5_000;

/**
 * Counts that fade exponentially, one for each key.
 *
 * @example
 * ```ts
 * const load = createKeyLoad();
 * load.add(4711, 1);
 * ```
 */
export function createKeyLoad(): KeyLoad {
  const counts = new Float32Array(MAX_KEY + 1);
  let observedMs = 0;
  // A load that was watched for a short time only is scaled up to a rate.
  const windowMs = (): number =>
    Math.max(500, MEMORY_MS * (1 - Math.exp(-observedMs / MEMORY_MS)));
  return {
    add(key, requests) {
      if (key < 0 || key > MAX_KEY) return;
      counts[key]! += requests;
    },
    rateOf({from, to}) {
      let sum = 0;
      for (let key = from; key <= to; key++) sum += counts[key]!;
      return (sum * 1000) / windowMs();
    },
    rateOfKey: key => (counts[key]! * 1000) / windowMs(),
    fade(elapsedMs) {
      observedMs += elapsedMs;
      const kept = Math.exp(-elapsedMs / MEMORY_MS);
      for (let key = 0; key <= MAX_KEY; key++) {
        if (counts[key] !== 0) counts[key]! *= kept;
      }
    },
  };
}
