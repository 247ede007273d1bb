const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

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
  let hash = FNV_OFFSET;
  for (let at = 0; at < address.length; at++) {
    hash = Math.imul(hash ^ address.charCodeAt(at), FNV_PRIME);
  }
  return hash >>> 0 || 1;
}
