/**
 * Numbers from 0 to 1 that look random, the same for each seed (xorshift).
 *
 * @example
 * ```ts
 * const random = createRandom(7);
 * random();
 * ```
 */
export function createRandom(seed: number): () => number {
  let state = seed >>> 0 || 1;
  return () => {
    state ^= state << 13;
    state ^= state >>> 17;
    state ^= state << 5;
    state >>>= 0;
    return state / 2 ** 32;
  };
}
