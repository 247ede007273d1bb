import {
  failure,
  type Failure,
  type FailureCode,
} from '@banyandrum/base/failure.js';
import type {Incarnation} from '@banyandrum/base/ids.js';
import type {HeaderField} from '@banyandrum/base/request.js';
import type {Verdict} from '@banyandrum/base/verdict.js';
import type {FailureFrame, IdentityFrame} from './frames.js';
import {MAX_HEAD_CHARS} from './limits.js';

const NO_RETRY = -1;

const VERDICTS: Readonly<Record<Verdict, true>> = {
  'not-run': true,
  'may-have-run': true,
  ran: true,
};

const CODES: Readonly<Record<FailureCode, true>> = {
  'bad-request': true,
  'unknown-service': true,
  'too-large': true,
  overloaded: true,
  deadline: true,
  cancelled: true,
  'no-leader': true,
  'no-owner': true,
  moved: true,
  fenced: true,
  refused: true,
  quarantined: true,
  unreachable: true,
  evacuated: true,
  'connection-lost': true,
  truncated: true,
  stopping: true,
  internal: true,
};

export function toFailureFrame(why: Failure): FailureFrame {
  const {verdict, code, detail, retryAfterMs = NO_RETRY} = why;
  return {verdict, code, detail, retryAfterMs};
}

/** What cannot be understood counts as `may-have-run`, the safe reading. */
export function toFailure(frame: FailureFrame): Failure {
  const verdict = Object.hasOwn(VERDICTS, frame.verdict)
    ? (frame.verdict as Verdict)
    : 'may-have-run';
  const code = Object.hasOwn(CODES, frame.code)
    ? (frame.code as FailureCode)
    : 'internal';
  const {detail, retryAfterMs} = frame;
  if (!(retryAfterMs >= 0)) return failure(verdict, code, detail);
  return failure(verdict, code, detail, retryAfterMs);
}

/**
 * The incarnation that a hello names.
 *
 * @throws Error where it names none.
 */
export function toIncarnation(
  frame: IdentityFrame | null | undefined,
): Incarnation {
  if (!frame?.host || !frame.boot) throw new Error('hello without a name');
  const {host, address, boot, dataCentre} = frame;
  return {host, address, boot, dataCentre};
}

/** Plain copies: decoded fields that are empty have no property of their own. */
export function toHeaders(
  headers: readonly HeaderField[],
): readonly HeaderField[] {
  return headers.map(({name, value}) => ({name, value}));
}

/** Whether a head is short enough for one frame. */
export function isHeadTooLong(
  headers: readonly HeaderField[],
  otherChars: number,
): boolean {
  let chars = otherChars;
  for (const {name, value} of headers) chars += name.length + value.length;
  return chars > MAX_HEAD_CHARS;
}
