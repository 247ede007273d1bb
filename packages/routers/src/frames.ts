import type {HeaderField} from '@banyandrum/base/request.js';
import {batchCodec} from './generated/peer.js';

/** What one frame can carry; see `proto/peer.proto`. */
export interface FrameContents {
  readonly hello: HelloFrame;
  readonly heartbeat: {readonly reply: boolean};
  readonly controlAsk: {readonly kind: string; readonly payload: Uint8Array};
  readonly controlAnswer: ControlAnswerFrame;
  readonly requestHead: RequestHeadFrame;
  readonly answerHead: AnswerHeadFrame;
  readonly chunk: {readonly bytes: Uint8Array; readonly last: boolean};
  readonly credit: {readonly bytes: number};
  readonly cancel: object;
  readonly failure: FailureFrame;
}

export type FrameKind = keyof FrameContents;

/** One frame: an id, counted within its stream, and one of the contents. */
export type Frame = {readonly id: number} & {
  readonly [K in FrameKind]?: FrameContents[K] | null;
};

/** A decoded frame; `kind` names the content that is set. */
export type ReceivedFrame = Frame & {readonly kind?: FrameKind};

export interface IdentityFrame {
  readonly host: string;
  readonly address: string;
  readonly boot: string;
  readonly dataCentre: string;
}

export interface HelloFrame {
  readonly self?: IdentityFrame | null;
  readonly expected?: IdentityFrame | null;
  readonly windowBytes: number;
}

export interface ControlAnswerFrame {
  readonly payload?: Uint8Array;
  readonly refusal?: string;
}

export interface RequestHeadFrame {
  readonly requestId: string;
  readonly service: string;
  readonly key: string;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly HeaderField[];
  /** Set when the frame is written. */
  remainingMs: number;
  readonly once: boolean;
  readonly precedence: number;
  readonly caller: string;
  readonly body: Uint8Array;
  readonly whole: boolean;
}

export interface AnswerHeadFrame {
  readonly status: number;
  readonly headers: readonly HeaderField[];
  readonly body: Uint8Array;
  readonly whole: boolean;
}

export interface FailureFrame {
  readonly verdict: string;
  readonly code: string;
  readonly detail: string;
  /** In ms; below 0: none. */
  readonly retryAfterMs: number;
}

/** The generated code, as far as it is used. */
export interface BatchCodec {
  encode(batch: {readonly frames: readonly Frame[]}): {finish(): Uint8Array};
  decode(bytes: Uint8Array): {readonly frames: readonly ReceivedFrame[]};
}

/** Encodes frames as one message, in their order. */
export function encodeBatch(frames: readonly Frame[]): Buffer {
  return batchCodec.encode({frames}).finish() as Buffer;
}

/**
 * Decodes a message; bodies are views of it, not copies.
 *
 * @throws Error where the bytes are no batch.
 */
export function decodeBatch(bytes: Uint8Array): readonly ReceivedFrame[] {
  const {frames} = batchCodec.decode(bytes);
  if (frames.length === 0) throw new Error('empty batch');
  return frames;
}

/** Receivers of frames; a kind without one is not allowed on that side. */
export type FrameReceivers = {
  readonly [K in FrameKind]?: (id: number, content: FrameContents[K]) => void;
};

/**
 * Decodes a message and hands each frame to its receiver.
 *
 * @throws Error where the bytes are no batch, a frame is of a kind that this
 *     side doesn't take, or a receiver refuses the frame.
 */
export function receiveBatch(
  bytes: Uint8Array,
  receivers: FrameReceivers,
): void {
  for (const frame of decodeBatch(bytes)) receiveFrame(frame, receivers);
}

function receiveFrame(frame: ReceivedFrame, receivers: FrameReceivers): void {
  const {kind} = frame;
  const receive = kind === undefined ? undefined : receivers[kind];
  if (kind === undefined || receive === undefined) {
    throw new Error(`frame of kind ${kind ?? 'unknown'} is not allowed here`);
  }
  (receive as (id: number, content: unknown) => void)(frame.id, frame[kind]);
}
