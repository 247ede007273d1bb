/** Uniform in [0, 1). */
export type Random = () => number;

/**
 * A seeded generator (mulberry32); the same seed yields the same numbers.
 *
 * @example
 * ```ts
 * const random = createRandom(7);
 * random();
 * ```
 */
export function createRandom(seed: number): Random {
  let state = seed | 0;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}

/** A draw from the exponential distribution with this mean. */
export function drawExponential(random: Random, mean: number): number {
  return -Math.log(1 - random()) * mean;
}

/**
 * Picks an index below `count` by Zipf's law with this exponent; 0 makes all
 * alike.
 */
export function createZipf(
  count: number,
  exponent: number,
): (random: Random) => number {
  if (exponent === 0) return random => Math.floor(random() * count);
  const sums = new Float64Array(count);
  let total = 0;
  for (let i = 0; i < count; i++) {
    total += 1 / (i + 1) ** exponent;
    sums[i] = total;
  }
  return random => firstAbove(sums, random() * total);
}

function firstAbove(sums: Float64Array, wanted: number): number {
  let low = 0;
  let high = sums.length - 1;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (sums[middle]! > wanted) high = middle;
    else low = middle + 1;
  }
  return low;
}
