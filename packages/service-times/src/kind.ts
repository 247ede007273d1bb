import {hashFnv1a} from '@banyandrum/base/fnv1a.js';

/** Kind of requests whose route is unknown. */
export const UNKNOWN_KIND = 0;

/**
 * Returns the kind of a route's requests: a 16-bit hash (FNV-1a, folded) of its
 * name, never `UNKNOWN_KIND`. Routes with equal hashes share their times.
 *
 * @example
 * ```ts
 * kindOf('slot-check'); // a number from 1 to 65535
 * ```
 */
export function kindOf(route: string): number {
  const hash = hashFnv1a(route);
  const folded = ((hash >>> 16) ^ hash) & 0xffff;
  return folded === UNKNOWN_KIND ? 1 : folded;
}
