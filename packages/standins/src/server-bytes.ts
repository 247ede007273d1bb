import {hash32} from '@banyandrum/base/hash.js';

/** A prime, so that a lost or repeated piece shifts all that follows. */
const BLOCK_BYTES = 4099;
const WORD_BYTES = 4;

/**
 * The bytes that `/bytes?n=` answers: they depend on request and key, so
 * that an answer that reached another request is noticed.
 *
 * @example
 * ```ts
 * const expected = patternedBytes(req.id, req.key, 100_000);
 * ```
 */
export function patternedBytes(
  requestId: string,
  key: string,
  count: number,
): Uint8Array {
  const bytes = new Uint8Array(count);
  const block = patternBlock(requestId, key);
  for (let at = 0; at < count; at += BLOCK_BYTES) {
    bytes.set(block.subarray(0, count - at), at);
  }
  return bytes;
}

function patternBlock(requestId: string, key: string): Uint8Array {
  const block = Buffer.alloc(BLOCK_BYTES);
  let state = hash32(`${requestId}\u0000${key}`) || 1;
  for (let at = 0; at < BLOCK_BYTES; at++) {
    if (at % WORD_BYTES === 0) state = nextWord(state);
    block[at] = state >>> (8 * (at % WORD_BYTES));
  }
  return block;
}

/** The xorshift32 generator. */
function nextWord(state: number): number {
  let word = state;
  word ^= word << 13;
  word ^= word >>> 17;
  word ^= word << 5;
  return word >>> 0;
}
