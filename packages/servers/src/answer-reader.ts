import {FailureError, failure} from '@banyandrum/base/failure.js';
import type {FailureCode} from '@banyandrum/base/failure.js';
import type {Body} from '@banyandrum/base/request.js';
import {EMPTY_BODY} from '@banyandrum/base/request.js';
import {createBodyStream} from './body-stream.js';
import type {BodySource, BodyStream} from './body-stream.js';
import type {AnswerHead} from './fields.js';

/** A server's answer with its buffered or streamed body. */
export interface ServerAnswer {
  readonly head: AnswerHead;
  readonly body: Body;
}

/** Assembles an answer from its parts. */
export interface AnswerReader {
  /** Starts with the head; returns the answer if its body is streamed. */
  begin(head: AnswerHead, source: BodySource): ServerAnswer | null;
  /** Returns false if the connection should pause. */
  push(chunk: Uint8Array): boolean;
  /** Ends the body; returns the answer if it was buffered. */
  end(): ServerAnswer | null;
  /** Fails the stream, if there is one; it throws with the verdict `ran`. */
  fail(code: FailureCode, detail: string): boolean;
}

/** Answers with these statuses have no body, whatever their head says. */
const BODILESS_STATUS: ReadonlySet<number> = new Set([204, 304]);

/** Whether an answer to `method` has no body, whatever its head says. */
export function isBodiless(method: string, status: number): boolean {
  return method === 'HEAD' || BODILESS_STATUS.has(status);
}

/**
 * Creates a reader that buffers bodies of up to `gatherBytes` and streams larger
 * ones.
 *
 * @example
 * ```ts
 * const reader = createAnswerReader('GET', 65_536);
 * const streamed = reader.begin(head, {resume, abandon});
 * ```
 */
export function createAnswerReader(
  method: string,
  gatherBytes: number,
): AnswerReader {
  let gathered: AnswerHead | null = null;
  let stream: BodyStream | null = null;
  const pieces: Uint8Array[] = [];

  const isSmall = ({status, length}: AnswerHead): boolean =>
    isBodiless(method, status) || (length !== null && length <= gatherBytes);

  return {
    begin(head, source) {
      if (isSmall(head)) {
        gathered = head;
        return null;
      }
      stream = createBodyStream(source);
      return {head, body: stream.body};
    },
    push(chunk) {
      if (stream !== null) return stream.push(chunk);
      pieces.push(chunk);
      return true;
    },
    end() {
      stream?.end();
      return gathered && {head: gathered, body: joinPieces(pieces)};
    },
    fail(code, detail) {
      stream?.fail(new FailureError(failure('ran', code, detail)));
      return stream !== null;
    },
  };
}

function joinPieces(pieces: readonly Uint8Array[]): Uint8Array {
  const [first] = pieces;
  if (first === undefined) return EMPTY_BODY;
  return pieces.length === 1 ? first : Buffer.concat(pieces);
}
