import type {ServerResponse} from 'node:http';
import type {Clock} from '@banyandrum/base/clock.js';
import type {Failure} from '@banyandrum/base/failure.js';
import {failure, failureOf} from '@banyandrum/base/failure.js';
import type {ServiceAnswer} from '@banyandrum/base/request.js';
import type {Result} from '@banyandrum/base/result.js';
import {Err, Ok} from '@banyandrum/base/result.js';
import {selectEndToEnd} from './headers.js';

/** How an answer is written to a caller. */
export interface AnswerContext {
  readonly res: ServerResponse;
  readonly clock: Clock;
  /** Headers that the router adds, names and values in turn. */
  readonly extra: readonly string[];
  /** Timeout for a caller that reads nothing of the response, in ms. */
  readonly stallMs: number;
}

/** How writing an answer ended. */
export type AnswerOutcome =
  /** The whole answer was written. */
  | {readonly kind: 'sent'}
  /** Nothing was written, so an error response can still be sent. */
  | {readonly kind: 'unsent'; readonly failure: Failure}
  /** A part was written; the connection was destroyed. */
  | {readonly kind: 'cut'; readonly failure: Failure};

/**
 * Maximum size of a response body that is buffered, in bytes. HTTP/1.0 can't
 * mark the end of a body without a length.
 */
export const MAX_COLLECTED_BYTES = 4 * 1024 * 1024;

const BODILESS_STATUS: ReadonlySet<number> = new Set([204, 205, 304]);
const LENGTH = /^[0-9]{1,15}$/;

/**
 * Writes a backend server's response. A truncated body destroys the connection
 * before the declared length, or the final chunk, has been sent, so that no
 * caller mistakes it for a complete one.
 *
 * @example
 * ```ts
 * const outcome = await writeAnswer(context, answer);
 * if (outcome.kind === 'unsent') sendProblem(res, outcome.failure);
 * ```
 */
export async function writeAnswer(
  context: AnswerContext,
  answer: ServiceAnswer,
): Promise<AnswerOutcome> {
  const declared = lengthOf(answer);
  if (declared.err) return release(answer, declared.val);
  if (answer.status < 200 || answer.status > 599) {
    return release(answer, broken(`status ${answer.status} is no answer`));
  }
  if (hasNoBody(context.res, answer)) {
    const length = context.res.req.method === 'HEAD' ? declared.val : null;
    const outcome = writeWhole(context, answer, null, length);
    await closeBody(answer.body);
    return outcome;
  }
  if (answer.body instanceof Uint8Array) {
    const {length} = answer.body;
    const fault = findLengthFault(length, declared.val);
    if (fault !== null) return {kind: 'unsent', failure: fault};
    return writeWhole(context, answer, answer.body, length);
  }
  if (declared.val === null && context.res.req.httpVersionMinor === 0) {
    return writeCollected(context, answer, answer.body);
  }
  return writeStream(context, answer, answer.body, declared.val);
}

/** Ends the iteration of a body that isn't read to its end. */
export async function closeBody(body: ServiceAnswer['body']): Promise<void> {
  if (body instanceof Uint8Array) return;
  try {
    await body[Symbol.asyncIterator]().return?.();
  } catch {
    // The source is closed even if closing it failed.
  }
}

function writeWhole(
  context: AnswerContext,
  answer: ServiceAnswer,
  body: Uint8Array | null,
  length: number | null,
): AnswerOutcome {
  const head = writeHead(context, answer, length);
  if (head.err) return {kind: 'unsent', failure: head.val};
  if (body === null) context.res.end();
  else context.res.end(body);
  return {kind: 'sent'};
}

async function writeStream(
  context: AnswerContext,
  answer: ServiceAnswer,
  body: AsyncIterable<Uint8Array>,
  declared: number | null,
): Promise<AnswerOutcome> {
  const {res} = context;
  let sent = 0;
  let started = false;
  try {
    for await (const chunk of body) {
      if (!started) {
        // Before the first chunk, a failure can still get an error response.
        const head = writeHead(context, answer, declared);
        if (head.err) return {kind: 'unsent', failure: head.val};
        started = true;
      }
      sent += chunk.length;
      if (declared !== null && sent > declared) break;
      if (!(await writeChunk(context, chunk))) {
        return cut(res, failure('ran', 'cancelled', 'the caller stopped'));
      }
    }
  } catch (err) {
    return giveUp(res, started, failureOf(err, 'ran'));
  }
  const fault = findLengthFault(sent, declared);
  if (fault !== null) return giveUp(res, started, fault);
  if (!started) return writeWhole(context, answer, null, 0);
  res.end();
  return {kind: 'sent'};
}

async function writeCollected(
  context: AnswerContext,
  answer: ServiceAnswer,
  body: AsyncIterable<Uint8Array>,
): Promise<AnswerOutcome> {
  const chunks: Uint8Array[] = [];
  let bytes = 0;
  try {
    for await (const chunk of body) {
      chunks.push(chunk);
      bytes += chunk.length;
      if (bytes > MAX_COLLECTED_BYTES) break;
    }
  } catch (err) {
    return {kind: 'unsent', failure: failureOf(err, 'ran')};
  }
  if (bytes > MAX_COLLECTED_BYTES) {
    const failure = broken('too large for HTTP/1.0; ask by HTTP/1.1');
    return {kind: 'unsent', failure};
  }
  return writeWhole(context, answer, Buffer.concat(chunks), bytes);
}

function writeHead(
  context: AnswerContext,
  answer: ServiceAnswer,
  length: number | null,
): Result<void, Failure> {
  const headers: string[] = [];
  for (const {name, value} of selectEndToEnd(answer.headers)) {
    if (!context.extra.includes(name)) headers.push(name, value);
  }
  if (length !== null) headers.push('content-length', String(length));
  headers.push('banyandrum-verdict', 'ran', ...context.extra);
  try {
    context.res.writeHead(answer.status, headers);
    return Ok.EMPTY;
  } catch (err) {
    context.res.statusMessage = '';
    return Err(failureOf(err, 'ran'));
  }
}

/** Returns whether the caller still reads. */
async function writeChunk(
  context: AnswerContext,
  chunk: Uint8Array,
): Promise<boolean> {
  const {res} = context;
  if (res.destroyed) return false;
  if (res.write(chunk)) return true;
  return waitForDrain(context);
}

function waitForDrain({res, clock, stallMs}: AnswerContext): Promise<boolean> {
  return new Promise(resolve => {
    const finish = (drained: boolean): void => {
      cancel();
      res.off('drain', onDrain);
      res.off('close', onClose);
      resolve(drained);
    };
    const onDrain = (): void => finish(true);
    const onClose = (): void => finish(false);
    // Otherwise a caller that stops reading would occupy its server's connection
    // indefinitely.
    const cancel = clock.after(stallMs, onClose);
    res.on('drain', onDrain);
    res.on('close', onClose);
  });
}

function lengthOf(answer: ServiceAnswer): Result<number | null, Failure> {
  const field = answer.headers.find(({name}) => name === 'content-length');
  if (field === undefined) return Ok(null);
  if (!LENGTH.test(field.value)) {
    return Err(broken('the answer has a malformed length'));
  }
  return Ok(Number(field.value));
}

function findLengthFault(
  bytes: number,
  declared: number | null,
): Failure | null {
  if (declared === null || bytes === declared) return null;
  return broken(`the answer has ${bytes} bytes instead of ${declared}`);
}

function hasNoBody(res: ServerResponse, answer: ServiceAnswer): boolean {
  return res.req.method === 'HEAD' || BODILESS_STATUS.has(answer.status);
}

async function release(
  answer: ServiceAnswer,
  failure: Failure,
): Promise<AnswerOutcome> {
  await closeBody(answer.body);
  return {kind: 'unsent', failure};
}

function giveUp(
  res: ServerResponse,
  started: boolean,
  failure: Failure,
): AnswerOutcome {
  return started ? cut(res, failure) : {kind: 'unsent', failure};
}

function cut(res: ServerResponse, failure: Failure): AnswerOutcome {
  res.destroy();
  return {kind: 'cut', failure};
}

function broken(detail: string): Failure {
  return failure('ran', 'truncated', detail);
}
