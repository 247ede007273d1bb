/**
 * Fences of one term. A term at the size designed for has some thousand ranges,
 * and moves a few hundred a second.
 */
export const FENCES_PER_TERM = 2 ** 20;
/** Terms in one epoch of the store's history: some centuries of changes. */
const TERMS_PER_STORE_EPOCH = 2 ** 20;
/** Fences stay below 2^53, where whole numbers are exact. */
export const MAX_STORE_EPOCH = 2 ** 13 - 1;

/**
 * The epoch of a leader's term. Terms are numbered anew after the store was
 * restored from a copy, so the epoch of its history goes before the number.
 *
 * @example
 * ```ts
 * toTermEpoch(3, 7) > toTermEpoch(2, 900); // true
 * ```
 */
export function toTermEpoch(storeEpoch: number, term: number): number {
  return storeEpoch * TERMS_PER_STORE_EPOCH + term;
}

/** The epoch of the store's history in which the term began. */
export function storeEpochOfTerm(termEpoch: number): number {
  return Math.floor(termEpoch / TERMS_PER_STORE_EPOCH);
}

/** The term's number in its epoch of the store's history. */
export function termNumber(termEpoch: number): number {
  return termEpoch % TERMS_PER_STORE_EPOCH;
}

/** The fence of this number in the term; it is above all of earlier terms. */
export function toFence(termEpoch: number, number: number): number {
  return termEpoch * FENCES_PER_TERM + number;
}

/** The epoch of the store's history in which the fence was given out. */
export function storeEpochOfFence(fence: number): number {
  return storeEpochOfTerm(Math.floor(fence / FENCES_PER_TERM));
}
