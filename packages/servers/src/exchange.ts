import type {Clock} from '@banyandrum/base/clock.js';
import {FailureError, failure} from '@banyandrum/base/failure.js';
import type {FailureCode} from '@banyandrum/base/failure.js';
import type {Body} from '@banyandrum/base/request.js';
import {EMPTY_BODY} from '@banyandrum/base/request.js';
import {Err, Ok} from '@banyandrum/base/result.js';
import type {Result} from '@banyandrum/base/result.js';
import type {Dispatcher} from 'undici';
import {createBodyStream} from './body-stream.js';
import type {BodyStream} from './body-stream.js';
import type {Connection, Connections, ConnectionUse} from './connections.js';
import {readHead} from './fields.js';
import type {AnswerHead} from './fields.js';

/** One request to a server, and when to give it up. */
export interface ExchangeSpec {
  readonly use: ConnectionUse;
  readonly method: string;
  readonly path: string;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Body;
  /** Of the answer, where the server repeats it; null matches any. */
  readonly requestId: string | null;
  /** On the injected clock, in ms; the whole answer is due by then. */
  readonly deadline: number;
  readonly signal: AbortSignal | undefined;
  /** Answers up to this size, in bytes, are gathered in one piece. */
  readonly gatherBytes: number;
  /** Asked right before the request is written. */
  mayWrite(): boolean;
}

export interface ExchangeAnswer {
  readonly head: AnswerHead;
  readonly body: Body;
}

/** How far an exchange came. */
export type ExchangeStage = 'unwritten' | 'written' | 'answering';

export type ExchangeErrorCode = Extract<
  FailureCode,
  | 'bad-request'
  | 'cancelled'
  | 'connection-lost'
  | 'deadline'
  | 'no-leader'
  | 'stopping'
  | 'truncated'
>;

export interface ExchangeError {
  readonly stage: ExchangeStage;
  readonly code: ExchangeErrorCode;
  readonly detail: string;
}

interface GaveUp {
  readonly code: ExchangeErrorCode;
  readonly detail: string;
}

type ExchangeResult = Result<ExchangeAnswer, ExchangeError>;

type Handler = Parameters<Dispatcher['dispatch']>[1];

/** Answers to these have no body, whatever their head says. */
const BODILESS_STATUS: ReadonlySet<number> = new Set([204, 304]);

/** Errors of undici that mean: the request was refused before any byte. */
const INVALID_CODES: ReadonlySet<unknown> = new Set([
  'UND_ERR_INVALID_ARG',
  'UND_ERR_NOT_SUPPORTED',
  'UND_ERR_REQ_CONTENT_LENGTH_MISMATCH',
]);

/**
 * Writes one request and reads its answer. Resolves once the answer is there
 * in one piece, or with its head and a stream. A stream that fails throws a
 * `FailureError` with the verdict `ran`.
 *
 * @example
 * ```ts
 * const result = await exchange(connections, clock, spec);
 * if (result.err) report(result.val.stage);
 * ```
 */
export function exchange(
  connections: Connections,
  clock: Clock,
  spec: ExchangeSpec,
): Promise<ExchangeResult> {
  return new Promise(resolve => {
    startExchange(connections, clock, spec, resolve);
  });
}

function startExchange(
  connections: Connections,
  clock: Clock,
  spec: ExchangeSpec,
  settle: (result: ExchangeResult) => void,
): void {
  let stage: ExchangeStage = 'unwritten';
  let writtenAt = 0;
  let connection: Connection | null = null;
  let gaveUp: GaveUp | null = null;
  let abort: (() => void) | null = null;
  let isStarted = false;
  let head: AnswerHead | null = null;
  let stream: BodyStream | null = null;
  const pieces: Uint8Array[] = [];

  const stopWatching = (): void => {
    cancelTimer();
    spec.signal?.removeEventListener('abort', onCancelled);
  };

  const fail = (code: ExchangeErrorCode, detail: string): void => {
    stopWatching();
    if (stream === null) return settle(Err({stage, code, detail}));
    stream.fail(new FailureError(failure('ran', code, detail)));
  };

  const giveUp = (code: ExchangeErrorCode, detail: string): void => {
    if (gaveUp !== null) return;
    gaveUp = {code, detail};
    cancelWait();
    // Without a connection, or before it stands, nothing has been written,
    // and `onConnect` will see that it must not be.
    if (abort === null) return fail(code, detail);
    abort();
  };

  const onCancelled = (): void => giveUp('cancelled', 'the caller gave up');

  const markWritten = (): void => {
    stage = 'written';
    writtenAt = clock.now();
  };

  const release = (answered: boolean): void => {
    if (connection === null) return;
    const released = connection;
    connection = null;
    connections.release(released, answered);
  };

  const handler: Handler = {
    onConnect(abortRequest) {
      if (gaveUp !== null) return abortRequest();
      abort = abortRequest;
      // undici may write a request again after some losses; a second write
      // could run it twice, so the first one's outcome stays open instead.
      if (isStarted) return giveUp('connection-lost', 'lost after the write');
      isStarted = true;
      if (!spec.mayWrite()) return giveUp('no-leader', NOT_PERMITTED);
      if (spec.body instanceof Uint8Array) markWritten();
    },
    onHeaders(status, raw, resume) {
      if (status < 200) return true;
      head = readHead(status, raw);
      if (isForeign(head, spec)) {
        giveUp('connection-lost', "another request's answer");
        return false;
      }
      stage = 'answering';
      if (!isDelimited(head, spec)) {
        giveUp('truncated', 'the answer does not say where it ends');
        return false;
      }
      if (isGathered(head, spec)) return true;
      stream = createBodyStream({
        resume,
        abandon: () => giveUp('cancelled', 'the reader gave up'),
      });
      settle(Ok({head, body: stream.body}));
      return true;
    },
    onData(chunk) {
      if (stream !== null) return stream.push(chunk);
      pieces.push(chunk);
      return true;
    },
    onComplete() {
      stopWatching();
      release(true);
      if (stream !== null) return stream.end();
      if (head !== null) settle(Ok({head, body: joinPieces(pieces)}));
    },
    onError(err) {
      const silent = gaveUp?.code === 'deadline' && stage === 'written';
      release(false);
      if (silent) connections.dropUnproved(writtenAt);
      const {code, detail} = gaveUp ?? errorOf(err, stage);
      fail(code, detail);
    },
  };

  const cancelTimer = clock.after(spec.deadline - clock.now(), () =>
    giveUp('deadline', 'no whole answer by the deadline'),
  );
  let cancelWait = (): void => {};
  if (spec.signal?.aborted) return onCancelled();
  if (spec.deadline <= clock.now()) {
    return giveUp('deadline', 'the deadline has passed');
  }
  spec.signal?.addEventListener('abort', onCancelled);

  const onBodyError = (code: ExchangeErrorCode, detail: string): void => {
    gaveUp ??= {code, detail};
  };
  cancelWait = connections.acquire(spec.use, granted => {
    if (granted === null) return giveUp('stopping', 'the server is given up');
    connection = granted;
    granted.client.dispatch(
      {
        method: spec.method as Dispatcher.HttpMethod,
        path: spec.path,
        headers: spec.headers as string[],
        body: bodyOf(spec, markWritten, onBodyError),
      },
      handler,
    );
  });
}

const NOT_PERMITTED = 'no authority any more when the request was due';

type DispatchBody = NonNullable<Dispatcher.DispatchOptions['body']> | null;

/** The body as undici takes it; it knows iterables, though its types don't. */
function bodyOf(
  spec: ExchangeSpec,
  markWritten: () => void,
  onError: (code: ExchangeErrorCode, detail: string) => void,
): DispatchBody {
  if (!(spec.body instanceof Uint8Array)) {
    const guarded = guardBody(spec.body, spec, markWritten, onError);
    return guarded as unknown as DispatchBody;
  }
  return spec.body.byteLength === 0 ? null : spec.body;
}

/**
 * A streamed request's head is written together with the first bytes of the
 * body, which may come long after `onConnect`. So permission is asked again
 * right before those.
 */
async function* guardBody(
  body: AsyncIterable<Uint8Array>,
  spec: ExchangeSpec,
  markWritten: () => void,
  onError: (code: ExchangeErrorCode, detail: string) => void,
): AsyncGenerator<Uint8Array> {
  let isWritten = false;
  const beforeWrite = (): void => {
    if (isWritten) return;
    if (!spec.mayWrite()) {
      onError('no-leader', NOT_PERMITTED);
      throw new Error(NOT_PERMITTED);
    }
    isWritten = true;
    markWritten();
  };
  try {
    for await (const chunk of body) {
      if (chunk.byteLength === 0) continue;
      beforeWrite();
      yield chunk;
    }
  } catch (err) {
    onError('truncated', `the request's body was cut: ${String(err)}`);
    throw err;
  }
  beforeWrite();
}

function isForeign(head: AnswerHead, spec: ExchangeSpec): boolean {
  if (spec.requestId === null || head.requestId === null) return false;
  return head.requestId !== spec.requestId;
}

/** A body that ends with its connection looks whole wherever it is cut. */
function isDelimited(head: AnswerHead, spec: ExchangeSpec): boolean {
  return head.isDelimited || isBodiless(head, spec);
}

function isBodiless(head: AnswerHead, spec: ExchangeSpec): boolean {
  return spec.method === 'HEAD' || BODILESS_STATUS.has(head.status);
}

function isGathered(head: AnswerHead, spec: ExchangeSpec): boolean {
  if (isBodiless(head, spec)) return true;
  return head.length !== null && head.length <= spec.gatherBytes;
}

function joinPieces(pieces: readonly Uint8Array[]): Uint8Array {
  const [first] = pieces;
  if (first === undefined) return EMPTY_BODY;
  return pieces.length === 1 ? first : Buffer.concat(pieces);
}

function errorOf(err: Error, stage: ExchangeStage): GaveUp {
  const detail = err.message;
  if (stage === 'answering') return {code: 'truncated', detail};
  const code = (err as NodeJS.ErrnoException).code;
  if (stage === 'unwritten' && INVALID_CODES.has(code)) {
    return {code: 'bad-request', detail};
  }
  return {code: 'connection-lost', detail};
}
