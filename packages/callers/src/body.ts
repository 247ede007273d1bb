import type {CancelSignal} from '@banyandrum/base/cancel.js';
import type {IncomingMessage} from 'node:http';
import type {Failure} from '@banyandrum/base/failure.js';
import {FailureError, failure} from '@banyandrum/base/failure.js';
import type {Result} from '@banyandrum/base/result.js';
import {Err, Ok} from '@banyandrum/base/result.js';

/** Bodies with a declared length of up to this are buffered, in bytes. */
export const WHOLE_BODY_BYTES = 16 * 1024;

/** Declared length of a request's body in bytes; null if there is none. */
export type BodyLength = number | null;

/** A streamed body, and why reading it failed. */
export interface StreamedBody {
  readonly chunks: AsyncIterable<Uint8Array>;
  /** Why reading the body failed; null if it hasn't. */
  fault(): Failure | null;
}

/**
 * The length of a request's body as declared by its headers. Node's parser has
 * already rejected conflicting headers.
 */
export function declaredLength(req: IncomingMessage): BodyLength {
  if (req.headers['transfer-encoding'] !== undefined) return null;
  return Number(req.headers['content-length'] ?? 0);
}

/**
 * Buffers a body of a known, small length. Nothing has been forwarded yet, so
 * the verdict of every failure is `not-run`.
 */
export function readWhole(
  req: IncomingMessage,
  signal: CancelSignal,
): Promise<Result<Uint8Array, Failure>> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    const finish = (result: Result<Uint8Array, Failure>): void => {
      signal.removeEventListener('abort', giveUp);
      req.removeAllListeners('data');
      resolve(result);
    };
    const giveUp = (): void => finish(Err(callerGone('not-run')));
    if (signal.aborted) return giveUp();
    signal.addEventListener('abort', giveUp);
    req.on('data', (chunk: Buffer) => chunks.push(chunk));
    req.on('end', () => finish(Ok(joinChunks(chunks))));
    req.on('error', giveUp);
  });
}

/**
 * Streams at most `maxBytes` of a body; it can be read once. A truncated or too
 * large body throws a `FailureError`. Its verdict is `may-have-run`, since the
 * bytes forwarded so far may have been executed; the handler replaces it if it
 * knows more.
 */
export function streamBody(
  req: IncomingMessage,
  maxBytes: number,
): StreamedBody {
  let fault: Failure | null = null;
  async function* read(): AsyncGenerator<Uint8Array> {
    let bytes = 0;
    try {
      // An early return must not destroy the socket, which the response needs.
      for await (const chunk of req.iterator({destroyOnReturn: false})) {
        bytes += (chunk as Buffer).length;
        if (bytes > maxBytes) throw new FailureError(tooLarge(maxBytes));
        yield chunk as Buffer;
      }
    } catch (err) {
      fault =
        err instanceof FailureError ? err.failure : callerGone('may-have-run');
      throw new FailureError(fault);
    }
  }
  return {chunks: read(), fault: () => fault};
}

function joinChunks(chunks: readonly Buffer[]): Uint8Array {
  const [only] = chunks;
  if (only !== undefined && chunks.length === 1) return only;
  return Buffer.concat(chunks);
}

function tooLarge(maxBytes: number): Failure {
  const detail = `the body is larger than ${maxBytes} bytes`;
  return failure('may-have-run', 'too-large', detail);
}

function callerGone(verdict: 'not-run' | 'may-have-run'): Failure {
  return failure(verdict, 'cancelled', 'the caller cut its request short');
}
