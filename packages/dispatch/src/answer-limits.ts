/** Which limit an answer exceeded: that of one, or that of all together. */
export type ExceededLimit = 'answer' | 'total';

/** Sizes of answers, in bytes. */
export interface AnswerSizes {
  /** Of one answer: head, body, chunk extensions and trailers. */
  readonly maxBytes: number;
  /** Of the bodies of all answers that are being received. */
  readonly totalBytes: number;
}

/**
 * Limits what servers may send as answers, and counts what is held of those that
 * are being received. A server may send bytes without end.
 */
export interface AnswerLimits extends AnswerSizes {
  /** Counts bytes of a body; false if all answers then exceed their limit. */
  tryHold(bytes: number): boolean;
  /** Ends the count of bytes that were held. */
  release(bytes: number): void;
  /** Counts an answer that exceeded a limit. */
  noteExceeded(limit: ExceededLimit): void;
  heldBytes(): number;
  /** Answers that exceeded each limit since the start. */
  exceeded(): Readonly<Record<ExceededLimit, number>>;
}

/** Head and trailers of an answer, in bytes; the HTTP client allows 16 KiB. */
const MAX_HEAD_BYTES = 24 * 1024;
/** Chunk sizes and extensions allowed for each byte of a body, in bytes. */
const FRAMING_PER_BODY_BYTE = 16;

/** Whether so much was received that isn't the body as no answer needs. */
export function isMostlyFraming(received: number, body: number): boolean {
  return received - body > MAX_HEAD_BYTES + FRAMING_PER_BODY_BYTE * body;
}

const BYTES_PER_MIB = 1024 ** 2;

/** Where the memory of the host isn't known. */
export const DEFAULT_ANSWER_SIZES: AnswerSizes = {
  maxBytes: 16 * BYTES_PER_MIB,
  totalBytes: 64 * BYTES_PER_MIB,
};

/**
 * Creates limits that the answers of several servers share.
 *
 * @example
 * ```ts
 * const answers = createAnswerLimits(settings.answers);
 * if (!answers.tryHold(chunk.length)) reset();
 * ```
 */
export function createAnswerLimits(
  sizes: AnswerSizes = DEFAULT_ANSWER_SIZES,
): AnswerLimits {
  let held = 0;
  const exceeded = {answer: 0, total: 0};
  return {
    ...sizes,
    tryHold(bytes) {
      if (held + bytes > sizes.totalBytes) return false;
      held += bytes;
      return true;
    },
    release(bytes) {
      held -= bytes;
    },
    noteExceeded(limit) {
      exceeded[limit]++;
    },
    heldBytes: () => held,
    exceeded: () => ({...exceeded}),
  };
}
