import type {IncomingMessage} from 'node:http';
import {STOPPING, type CancelSignal} from '@banyandrum/base/cancel.js';
import {createBodyBuffer} from '@banyandrum/dispatch/body-buffer.js';
import type {BodyMemory} from './body-memory.js';

/** Result of reading a request's body. */
export type BodyRead =
  /** `bytes` is null if the request has no body. */
  | {readonly kind: 'read'; readonly bytes: Buffer | null}
  | {readonly kind: 'too-large'}
  /** The bodies of all requests take too much memory. */
  | {readonly kind: 'no-memory'}
  /** This router stops before the whole body could be of use. */
  | {readonly kind: 'stopping'}
  /** The connection closed before the whole body was received. */
  | {readonly kind: 'incomplete'};

/** A body that was read, or a part of one. */
export interface HeldBody {
  readonly result: BodyRead;
  /** Call when the body isn't needed any more. */
  release(): void;
}

/** Bytes that were received, in the memory that they take until their end. */
interface Receiver {
  /** Memory that each received byte takes. */
  readonly memoryPerByte: number;
  add(chunk: Buffer): void;
  bytes(): Buffer;
}

/**
 * Reads a request's body into memory, so that it can be sent again on a retry.
 * Resolves to `too-large`, `no-memory` or, when `signal` is aborted because this
 * router stops, to `stopping` as soon as that is known, without reading the
 * rest.
 *
 * @example
 * ```ts
 * const {result, release} = await readBody(req, 1_048_576, bodies);
 * ```
 */
export async function readBody(
  req: IncomingMessage,
  maxBytes: number,
  memory: BodyMemory,
  signal: CancelSignal | null = null,
): Promise<HeldBody> {
  const {headers} = req;
  const contentLength = headers['content-length'];
  const hasBody = contentLength !== undefined || 'transfer-encoding' in headers;
  if (!hasBody) return holdNothing({kind: 'read', bytes: null});
  const length = contentLength === undefined ? null : Number(contentLength);
  if (length !== null && length > maxBytes)
    return holdNothing({kind: 'too-large'});
  const receiver = length === null ? receiveChunks() : receiveInto(length);
  let held = 0;
  const tryHold = (bytes: number, size: number): boolean => {
    const needed = bytes * receiver.memoryPerByte;
    if (!memory.tryHold(needed, size)) return false;
    held += needed;
    return true;
  };
  const result = await receive(req, maxBytes, receiver, tryHold, signal);
  const release = (): void => {
    memory.release(held);
    held = 0;
  };
  if (result.kind !== 'read') release();
  return {result, release};
}

function holdNothing(result: BodyRead): HeldBody {
  return {result, release: () => undefined};
}

function receive(
  req: IncomingMessage,
  maxBytes: number,
  receiver: Receiver,
  tryHold: (bytes: number, size: number) => boolean,
  signal: CancelSignal | null,
): Promise<BodyRead> {
  return new Promise(resolveRead => {
    let size = 0;
    const resolve = (read: BodyRead): void => {
      signal?.removeEventListener('abort', onAbort);
      resolveRead(read);
    };
    const isStopping = (): boolean => signal?.reason === STOPPING;
    const onAbort = (): void => {
      if (isStopping()) giveUp('stopping');
    };
    const onData = (chunk: Buffer): void => {
      size += chunk.length;
      if (size > maxBytes) return giveUp('too-large');
      if (!tryHold(chunk.length, size)) return giveUp('no-memory');
      receiver.add(chunk);
    };
    const giveUp = (kind: 'too-large' | 'no-memory' | 'stopping'): void => {
      req.off('data', onData);
      req.pause();
      resolve({kind});
    };
    if (isStopping()) return giveUp('stopping');
    signal?.addEventListener('abort', onAbort);
    req.on('data', onData);
    req.once('end', () => resolve({kind: 'read', bytes: receiver.bytes()}));
    req.once('close', () => {
      if (!req.complete) resolve({kind: 'incomplete'});
    });
    req.once('error', () => resolve({kind: 'incomplete'}));
  });
}

/** Receives a body of known length, which takes its size. */
function receiveInto(length: number): Receiver {
  const body = Buffer.allocUnsafe(length);
  let size = 0;
  return {
    memoryPerByte: 1,
    add(chunk) {
      size += chunk.copy(body, size);
    },
    bytes: () => body.subarray(0, size),
  };
}

/** Receives chunks, which are copied once more when they are put together. */
function receiveChunks(): Receiver {
  const body = createBodyBuffer();
  return {
    memoryPerByte: 2,
    add: body.append,
    bytes: body.toBuffer,
  };
}
