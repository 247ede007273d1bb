/** Collects the chunks of a body, with memory in proportion to its size. */
export interface BodyBuffer {
  /** Takes the memory for a body of this length in one piece. */
  expect(bytes: number): void;
  append(chunk: Buffer): void;
  /** The bytes of all chunks. */
  toBuffer(): Buffer;
  clear(): void;
}

/** Smaller chunks are copied, in bytes: a view of a buffer takes some 100. */
const MIN_KEPT_BYTES = 4 * 1024;
/** Largest buffer into which chunks are copied, in bytes. */
const MAX_BLOCK_BYTES = 64 * 1024;

/**
 * Creates an empty body.
 *
 * @example
 * ```ts
 * const body = createBodyBuffer();
 * body.append(chunk);
 * deliver(body.toBuffer());
 * ```
 */
export function createBodyBuffer(): BodyBuffer {
  let parts: Buffer[] = [];
  let size = 0;
  let block = Buffer.alloc(0);
  let used = 0;

  const closeBlock = (): void => {
    if (used > 0) parts.push(block.subarray(0, used));
    block = Buffer.alloc(0);
    used = 0;
  };

  const hasRoom = ({length}: Buffer): boolean => block.length - used >= length;

  const copy = (chunk: Buffer): void => {
    if (!hasRoom(chunk)) {
      closeBlock();
      const next = Math.min(size, MAX_BLOCK_BYTES);
      block = Buffer.allocUnsafeSlow(Math.max(chunk.length, next));
    }
    chunk.copy(block, used);
    used += chunk.length;
  };

  return {
    expect(bytes) {
      closeBlock();
      block = Buffer.allocUnsafeSlow(bytes);
    },
    append(chunk) {
      if (!hasRoom(chunk) && mayKeep(chunk)) {
        closeBlock();
        parts.push(chunk);
      } else copy(chunk);
      size += chunk.length;
    },
    toBuffer() {
      closeBlock();
      return parts.length === 1 ? parts[0]! : Buffer.concat(parts, size);
    },
    clear() {
      closeBlock();
      parts = [];
      size = 0;
    },
  };
}

/** Whether the chunk is most of the buffer that it keeps in memory. */
function mayKeep({length, buffer}: Buffer): boolean {
  return length >= MIN_KEPT_BYTES && length * 2 >= buffer.byteLength;
}
