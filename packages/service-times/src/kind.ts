/** Kind of requests whose route is unknown. */
export const UNKNOWN_KIND = 0;

const FNV_OFFSET_BASIS = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

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
  let hash = FNV_OFFSET_BASIS;
  for (let at = 0; at < route.length; at++) {
    hash = Math.imul(hash ^ route.charCodeAt(at), FNV_PRIME);
  }
  const folded = ((hash >>> 16) ^ hash) & 0xffff;
  return folded === UNKNOWN_KIND ? 1 : folded;
}
