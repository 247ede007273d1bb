/**
 * Fences available in one leader term. A term of the intended size has a few
 * thousand ranges and moves a few hundred of them per second.
 */
export const FENCES_PER_TERM = 2 ** 20;
/**
 * Terms available in one store epoch: enough for centuries of leader changes.
 */
const TERMS_PER_STORE_EPOCH = 2 ** 20;
/** Keeps fences below 2^53, where a number represents integers exactly. */
export const MAX_STORE_EPOCH = 2 ** 13 - 1;

/**
 * Combines a store epoch and a term number into the epoch of a leader's term.
 * Restoring the store from a snapshot starts a new store epoch and resets the
 * term numbers, so the store epoch forms the high-order part.
 *
 * @example
 * ```ts
 * toTermEpoch(3, 7) > toTermEpoch(2, 900); // true
 * ```
 */
export function toTermEpoch(storeEpoch: number, term: number): number {
  return storeEpoch * TERMS_PER_STORE_EPOCH + term;
}

/** Returns the store epoch in which the term began. */
export function storeEpochOfTerm(termEpoch: number): number {
  return Math.floor(termEpoch / TERMS_PER_STORE_EPOCH);
}

/** Returns the term's number within its store epoch. */
export function termNumber(termEpoch: number): number {
  return termEpoch % TERMS_PER_STORE_EPOCH;
}

/**
 * Returns the fence with this sequence number in a term. It exceeds all fences
 * of earlier terms.
 */
export function toFence(termEpoch: number, sequence: number): number {
  return termEpoch * FENCES_PER_TERM + sequence;
}

/** Returns the store epoch in which the fence was issued. */
export function storeEpochOfFence(fence: number): number {
  return storeEpochOfTerm(Math.floor(fence / FENCES_PER_TERM));
}
