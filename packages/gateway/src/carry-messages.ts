import {
  toFieldMap,
  type AttemptResult,
  type LossReason,
} from '@banyandrum/dispatch/attempt.js';
import type {CarriedAttempt} from '@banyandrum/dispatch/carriers.js';
import type {ProbeResult} from '@banyandrum/dispatch/crash-detector.js';

/** What a router asks a carrier to do. */
export type CarryRequest =
  | {readonly kind: 'send'; readonly attempt: CarriedAttempt}
  /** Opens a connection to the server, to see whether it can be reached. */
  | {readonly kind: 'probe'; readonly server: string}
  /** Asks the server's health endpoint. */
  | {readonly kind: 'health'; readonly server: string; readonly path: string};

/** Why a carrier didn't send an attempt although it might reach the server. */
export type CarryRefusal =
  | 'unknown-server'
  | 'leaving'
  | 'evacuated'
  | 'resting'
  | 'no-connection'
  /** It can't reach the server, but may be cut off itself. */
  | 'cut-off'
  | 'busy'
  /** Its time was over, or the caller had left, when it was read. */
  | 'too-late'
  | 'stopping';

/** The carrier's reply. */
export type CarryReply =
  | {readonly kind: 'sent'; readonly result: AttemptResult}
  /** It can't reach the server either; the attempt was not sent. */
  | {readonly kind: 'unreachable'}
  /** The attempt was not sent. */
  | {readonly kind: 'refused'; readonly why: CarryRefusal}
  | {readonly kind: 'probed'; readonly result: ProbeResult}
  /** Header fields of the server's answer. */
  | {
      readonly kind: 'health';
      readonly fields: readonly (readonly [string, string])[];
    };

/** JSON forms, with bodies and header maps outside of them. */
type WireRequest =
  | {
      readonly kind: 'send';
      readonly attempt: Omit<CarriedAttempt, 'body'>;
      readonly hasBody: boolean;
    }
  | Exclude<CarryRequest, {kind: 'send'}>;
type WireResult =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly headers: readonly string[];
    }
  | {
      readonly kind: 'lost';
      readonly reason: LossReason;
      readonly isWritten: boolean;
      readonly detail: string;
      readonly fields: readonly (readonly [string, string])[];
    };
type WireReply =
  | {readonly kind: 'sent'; readonly result: WireResult}
  | Exclude<CarryReply, {kind: 'sent'}>;

/** Bytes of the length that precedes the JSON part of a frame. */
const LENGTH_BYTES = 4;
const EMPTY = Buffer.alloc(0);

/** A frame: the length of the JSON part, that part, then the body as it is. */
function encodeFrame(head: object, body: Buffer): Buffer {
  const json = Buffer.from(JSON.stringify(head));
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(json.length);
  return Buffer.concat([length, json, body]);
}

function decodeFrame(bytes: Buffer): {head: unknown; body: Buffer} {
  const bodyAt = LENGTH_BYTES + bytes.readUInt32BE();
  const json = bytes.toString('utf8', LENGTH_BYTES, bodyAt);
  return {head: JSON.parse(json), body: bytes.subarray(bodyAt)};
}

/**
 * Encodes what a router asks a carrier to do.
 *
 * @example
 * ```ts
 * const bytes = encodeCarryRequest({kind: 'probe', server: 'i-7f3a'});
 * ```
 */
export function encodeCarryRequest(req: CarryRequest): Buffer {
  if (req.kind !== 'send') return encodeFrame(req, EMPTY);
  const {body, ...attempt} = req.attempt;
  const head: WireRequest = {kind: 'send', attempt, hasBody: body !== null};
  return encodeFrame(head, body ?? EMPTY);
}

/** Decodes what a router asks a carrier to do. */
export function decodeCarryRequest(bytes: Buffer): CarryRequest {
  const {head, body} = decodeFrame(bytes);
  const req = head as WireRequest;
  if (req.kind !== 'send') return req;
  const attempt = {...req.attempt, body: req.hasBody ? body : null};
  return {kind: 'send', attempt};
}

/** Encodes a carrier's reply. */
export function encodeCarryReply(reply: CarryReply): Buffer {
  if (reply.kind !== 'sent') return encodeFrame(reply, EMPTY);
  const {result} = reply;
  if (result.kind === 'lost') {
    const fields = [...result.fields];
    return encodeFrame({kind: 'sent', result: {...result, fields}}, EMPTY);
  }
  const {status, headers, body} = result.answer;
  const wire: WireResult = {kind: 'answered', status, headers};
  return encodeFrame({kind: 'sent', result: wire}, body);
}

/** Decodes a carrier's reply. */
export function decodeCarryReply(bytes: Buffer): CarryReply {
  const {head, body} = decodeFrame(bytes);
  const reply = head as WireReply;
  if (reply.kind !== 'sent') return reply;
  const {result} = reply;
  if (result.kind === 'lost')
    return {...reply, result: {...result, fields: new Map(result.fields)}};
  const {status, headers} = result;
  const fields = toFieldMap(headers);
  const answer = {status, headers, body, fields};
  return {kind: 'sent', result: {kind: 'answered', answer}};
}
