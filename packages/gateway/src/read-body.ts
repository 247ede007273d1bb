import type {IncomingMessage} from 'node:http';
import {STOPPING, type CancelSignal} from '@banyandrum/base/cancel.js';
import type {Clock} from '@banyandrum/base/clock.js';
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
  /** It was not received by its deadline. */
  | {readonly kind: 'late'}
  /** The connection closed before the whole body was received. */
  | {readonly kind: 'incomplete'};

/** A body that was read, or a part of one. */
export interface HeldBody {
  readonly result: BodyRead;
  /** Call when the body isn't needed any more. */
  release(): void;
}

/** How a body is read. */
export interface BodyReadConfig {
  readonly clock: Clock;
  readonly maxBytes: number;
  readonly memory: BodyMemory;
  /** Ends the reading if it is aborted because this router stops. */
  readonly signal?: CancelSignal;
  /** Monotonic time from which the body is of no use, in ms. */
  readonly deadline?: number;
}

/** Bytes that were received, in the memory that they take until their end. */
interface Receiver {
  /** Memory that each received byte takes. */
  readonly memoryPerByte: number;
  add(chunk: Buffer): void;
  bytes(): Buffer;
  /** Frees the memory, though listeners still refer to this receiver. */
  clear(): void;
}

/**
 * Reads a request's body into memory, so that it can be sent again on a retry.
 * Resolves as soon as it is known that the body can't be used, without reading
 * the rest.
 *
 * @example
 * ```ts
 * const cfg = {clock, maxBytes: 1_048_576, memory: bodies};
 * const {result, release} = await readBody(req, cfg);
 * ```
 */
export function readBody(
  req: IncomingMessage,
  cfg: BodyReadConfig,
): Promise<HeldBody> {
  const {headers} = req;
  const contentLength = headers['content-length'];
  const hasBody = contentLength !== undefined || 'transfer-encoding' in headers;
  if (!hasBody)
    return Promise.resolve(holdNothing({kind: 'read', bytes: null}));
  const length = contentLength === undefined ? null : Number(contentLength);
  if (length !== null && length > cfg.maxBytes)
    return Promise.resolve(holdNothing({kind: 'too-large'}));
  const receiver = length === null ? receiveChunks() : receiveInto(length);
  return receive(req, cfg, receiver);
}

function holdNothing(result: BodyRead): HeldBody {
  return {result, release: () => undefined};
}

/** Ways in which the reading of a body is given up. */
type GivenUp = 'too-large' | 'no-memory' | 'stopping' | 'late';

function receive(
  req: IncomingMessage,
  {clock, maxBytes, memory, signal, deadline = Infinity}: BodyReadConfig,
  receiver: Receiver,
): Promise<HeldBody> {
  return new Promise(resolveRead => {
    let size = 0;
    let cancelDeadline = (): void => undefined;
    const resolve = (result: BodyRead): void => {
      signal?.removeEventListener('abort', onAbort);
      cancelDeadline();
      if (result.kind === 'read') holding.complete();
      else holding.release();
      resolveRead({result, release: holding.release});
    };
    const isStopping = (): boolean => signal?.reason === STOPPING;
    const onAbort = (): void => {
      if (isStopping()) giveUp('stopping');
    };
    const onData = (chunk: Buffer): void => {
      size += chunk.length;
      if (size > maxBytes) return giveUp('too-large');
      const needed = chunk.length * receiver.memoryPerByte;
      if (!holding.tryHold(needed, size)) return giveUp('no-memory');
      receiver.add(chunk);
    };
    const giveUp = (kind: GivenUp): void => {
      req.off('data', onData);
      req.pause();
      receiver.clear();
      resolve({kind});
    };
    const holding = memory.open(() => giveUp('no-memory'));
    if (isStopping()) return giveUp('stopping');
    signal?.addEventListener('abort', onAbort);
    if (deadline < Infinity) {
      const leftMs = Math.max(deadline - clock.now(), 0);
      cancelDeadline = clock.after(leftMs, () => giveUp('late'));
    }
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
  let body = Buffer.allocUnsafe(length);
  let size = 0;
  return {
    memoryPerByte: 1,
    add(chunk) {
      size += chunk.copy(body, size);
    },
    bytes: () => body.subarray(0, size),
    clear() {
      body = Buffer.alloc(0);
    },
  };
}

/** Receives chunks, which are copied once more when they are put together. */
function receiveChunks(): Receiver {
  const body = createBodyBuffer();
  return {
    memoryPerByte: 2,
    add: body.append,
    bytes: body.toBuffer,
    clear: body.clear,
  };
}
