import type {Body} from '@banyandrum/base/request.js';
import {CHUNK_BYTES} from './limits.js';
import {LANES, type Sender} from './sender.js';

/** Sends one body in chunks, as far as its window allows. */
export interface Pump {
  /** The reader has room for as many bytes more. */
  grant(bytes: number): void;
  /** Ends it at once and gives its source up. */
  stop(): void;
}

export interface PumpOptions {
  readonly id: number;
  readonly body: Body;
  readonly sender: Sender;
  readonly windowBytes: number;
  /** All is handed to the sender. */
  readonly onEnd: () => void;
  /** The source of the body failed. */
  readonly onError: (err: unknown) => void;
}

const STOPPED = Symbol('stopped');

/**
 * Whether the body fits into its head's frame.
 *
 * @example
 * ```ts
 * if (fitsHead(answer.body)) sendWhole(answer.body);
 * ```
 */
export function fitsHead(body: Body): body is Uint8Array {
  return body instanceof Uint8Array && body.length <= CHUNK_BYTES;
}

/**
 * Starts to send a body.
 *
 * @example
 * ```ts
 * const pump = startPump({id, body, sender, windowBytes, onEnd, onError});
 * pump.grant(65536);
 * ```
 */
export function startPump(options: PumpOptions): Pump {
  const {id, body, sender, onEnd, onError} = options;
  let credit = options.windowBytes;
  let stopped = false;
  let wake = (): void => {};
  let setStopped = (): void => {};
  const stop = new Promise<typeof STOPPED>(resolve => {
    setStopped = () => resolve(STOPPED);
  });

  const sendPiece = async (piece: Uint8Array): Promise<void> => {
    for (let at = 0; at < piece.length && !stopped; at += CHUNK_BYTES) {
      const bytes = piece.subarray(at, at + CHUNK_BYTES);
      while (!stopped && credit < bytes.length) {
        await new Promise<void>(resolve => (wake = resolve));
      }
      if (stopped) return;
      const room = sender.reserve(bytes.length);
      if (room !== null) await room;
      if (stopped) return sender.release(bytes.length);
      credit -= bytes.length;
      const chunk = {bytes, last: false};
      sender.push(LANES.chunks, {id, chunk}, bytes.length);
    }
  };

  const sendAll = async (): Promise<void> => {
    if (body instanceof Uint8Array) return sendPiece(body);
    const pieces = body[Symbol.asyncIterator]();
    while (!stopped) {
      const step = await Promise.race([pieces.next(), stop]);
      if (step === STOPPED) break;
      if (step.done) return;
      await sendPiece(step.value);
    }
    giveUp(pieces);
  };

  const run = async (): Promise<void> => {
    try {
      await sendAll();
      if (stopped) return;
      const chunk = {bytes: EMPTY, last: true};
      sender.push(LANES.chunks, {id, chunk});
      onEnd();
    } catch (err) {
      if (!stopped) onError(err);
    }
  };

  void run();
  return {
    grant(bytes) {
      credit += bytes;
      wake();
    },
    stop() {
      stopped = true;
      setStopped();
      wake();
    },
  };
}

/** Releases a body that nobody reads any more. */
export function discardBody(body: Body): void {
  if (body instanceof Uint8Array) return;
  giveUp(body[Symbol.asyncIterator]());
}

const EMPTY = new Uint8Array(0);

function giveUp(pieces: AsyncIterator<Uint8Array>): void {
  // What its end says no longer matters to anyone.
  pieces.return?.().catch(() => {});
}
