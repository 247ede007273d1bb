import {hashFnv1a} from '@banyandrum/base/fnv1a.js';

/**
 * A 32-bit hash (FNV-1a) of a caller's address, the same in every process and
 * never 0, which stands for an unknown caller.
 *
 * @example
 * ```ts
 * const caller = hashCaller('10.4.0.17');
 * ```
 */
export function hashCaller(address: string): number {
  return hashFnv1a(address) || 1;
}
