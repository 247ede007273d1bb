const OFFSET_BASIS = 0x811c9dc5;
const PRIME = 0x01000193;

/**
 * The 32-bit FNV-1a hash of the text's UTF-16 code units, from 0 to 2^32 - 1: the
 * same in every process and version of the program.
 *
 * @example
 * ```ts
 * hashFnv1a('10.4.0.17');
 * ```
 */
export function hashFnv1a(text: string): number {
  let hash = OFFSET_BASIS;
  for (let at = 0; at < text.length; at++) {
    hash = Math.imul(hash ^ text.charCodeAt(at), PRIME);
  }
  return hash >>> 0;
}
