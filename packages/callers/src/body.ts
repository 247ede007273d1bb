import type {CancelSignal} from '@banyandrum/base/cancel.js';
import type {IncomingMessage} from 'node:http';
import type {Failure} from '@banyandrum/base/failure.js';
import {FailureError, failure} from '@banyandrum/base/failure.js';
import type {Result} from '@banyandrum/base/result.js';
import {Err, Ok} from '@banyandrum/base/result.js';

/** Bodies of a declared length up to this are read whole before dispatch. */
export const WHOLE_BODY_BYTES = 16 * 1024;

/** How a request's body is framed; `null` where no length is declared. */
export type BodyLength = number | null;

/** A body that is streamed, and why its reading failed, if it did. */
export interface StreamedBody {
  readonly chunks: AsyncIterable<Uint8Array>;
  /** The failure that the reader met; null while there is none. */
  fault(): Failure | null;
}

/**
 * The length of a request's body as its headers declare it. Node's parser has
 * refused contradictory headers before.
 */
export function declaredLength(req: IncomingMessage): BodyLength {
  if (req.headers['transfer-encoding'] !== undefined) return null;
  return Number(req.headers['content-length'] ?? 0);
}

/**
 * Reads a body of a known, small length. Nothing has been passed on yet, so
 * that every failure is `not-run`.
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
 * Streams a body, once, and never more than `maxBytes` of it. A body that is
 * cut or too large throws a `FailureError`. What was passed on before may have
 * been executed, so that its verdict is `may-have-run`; whoever knows better
 * replaces it.
 */
export function streamBody(
  req: IncomingMessage,
  maxBytes: number,
): StreamedBody {
  let fault: Failure | null = null;
  async function* read(): AsyncGenerator<Uint8Array> {
    let bytes = 0;
    try {
      // An early return must not destroy the socket that the answer needs.
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
