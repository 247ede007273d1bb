/** Bytes that were received on a connection and are not parsed. */
export interface ReceivedBytes {
  add(bytes: Buffer, at: number): void;
  /** Takes up to `maxBytes`, all of one read; there must be some. */
  take(maxBytes: number): ReceivedPart;
  clear(): void;
  isEmpty(): boolean;
  /** Memory that they take, in bytes. */
  heldBytes(): number;
}

/** A part of what was read at a time. */
export interface ReceivedPart {
  readonly bytes: Buffer;
  /** When it was read; monotonic, in ms. */
  readonly at: number;
}

/**
 * Creates a queue of bytes. A read takes its memory until its last byte is taken.
 *
 * @example
 * ```ts
 * const received = createReceivedBytes();
 * received.add(bytes, clock.now());
 * const {bytes: first} = received.take(1_024);
 * ```
 */
export function createReceivedBytes(): ReceivedBytes {
  const reads: ReceivedPart[] = [];
  let heldBytes = 0;
  /** Bytes of the first read that were taken. */
  let taken = 0;

  return {
    add(bytes, at) {
      reads.push({bytes, at});
      heldBytes += bytes.length;
    },
    take(maxBytes) {
      const {bytes, at} = reads[0]!;
      const from = taken;
      taken = Math.min(from + maxBytes, bytes.length);
      const part = {bytes: bytes.subarray(from, taken), at};
      if (taken === bytes.length) {
        reads.shift();
        heldBytes -= bytes.length;
        taken = 0;
      }
      return part;
    },
    clear() {
      reads.length = 0;
      heldBytes = 0;
      taken = 0;
    },
    isEmpty: () => reads.length === 0,
    heldBytes: () => heldBytes,
  };
}
