import type {CancelSignal} from '@banyandrum/base/cancel.js';
import type {Clock} from '@banyandrum/base/clock.js';
import type {FailureCode} from '@banyandrum/base/failure.js';
import type {Body} from '@banyandrum/base/request.js';
import {Err, Ok} from '@banyandrum/base/result.js';
import type {Result} from '@banyandrum/base/result.js';
import type {Dispatcher} from 'undici';
import {createAnswerReader, isBodiless} from './answer-reader.js';
import type {ServerAnswer} from './answer-reader.js';
import type {Connection, Connections, ConnectionUse} from './connections.js';
import {readHead} from './fields.js';
import type {AnswerHead} from './fields.js';
import {toDispatchBody} from './request-body.js';

/** One request to a server, with its deadline. */
export interface ExchangeSpec {
  readonly use: ConnectionUse;
  readonly method: string;
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Body;
  /** Must match that of the answer, if it has one; null matches any. */
  readonly requestId: string | null;
  /** Deadline of the whole answer on the injected clock, in ms. */
  readonly deadline: number;
  readonly signal: CancelSignal | undefined;
  /** Answers up to this size, in bytes, are buffered. */
  readonly gatherBytes: number;
  /** Called just before the request is written. */
  mayWrite(): boolean;
}

/** Progress of an exchange. */
export type ExchangeStage = 'unwritten' | 'written' | 'answering';

export interface ExchangeError {
  readonly stage: ExchangeStage;
  readonly code: FailureCode;
  readonly detail: string;
}

export type ExchangeResult = Result<ServerAnswer, ExchangeError>;

/** Why an exchange ends without a whole answer. */
type Reason = Omit<ExchangeError, 'stage'>;

type Handler = Parameters<Dispatcher['dispatch']>[1];

/** State of an exchange in progress. */
interface Exchange {
  readonly spec: ExchangeSpec;
  readonly connections: Connections;
  readonly clock: Clock;
  readonly settle: (result: ExchangeResult) => void;
  stage: ExchangeStage;
  writtenAt: number;
  /** Null before it is acquired and after it is released. */
  connection: Connection | null;
  /** Set when undici is about to write; aborts request and connection. */
  abort: (() => void) | null;
  reason: Reason | null;
  /** Fails the answer's stream; returns false if there is none yet. */
  failStream: (code: FailureCode, detail: string) => boolean;
  /** Stops waiting for a connection, the deadline and a cancellation. */
  stopWaiting: () => void;
}

const FORBIDDEN: Reason = {
  code: 'no-leader',
  detail: 'no authority any more when the request was due',
};

/** Errors of undici for requests that can't be written. */
const INVALID_CODES: ReadonlySet<unknown> = new Set([
  'UND_ERR_INVALID_ARG',
  'UND_ERR_NOT_SUPPORTED',
  'UND_ERR_REQ_CONTENT_LENGTH_MISMATCH',
]);

/**
 * Writes one request and reads its answer. Resolves with the buffered answer, or
 * with its head and a stream. A stream that fails throws a `FailureError` with
 * the verdict `ran`.
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
  const {signal, deadline} = spec;
  if (signal?.aborted) return unwritten('cancelled', 'the caller gave up');
  if (deadline <= clock.now()) {
    return unwritten('deadline', 'the deadline has passed');
  }
  return new Promise(settle => {
    const ex: Exchange = {
      spec,
      connections,
      clock,
      settle,
      stage: 'unwritten',
      writtenAt: 0,
      connection: null,
      abort: null,
      reason: null,
      failStream: () => false,
      stopWaiting: () => {},
    };
    waitFor(ex);
  });
}

function unwritten(code: FailureCode, detail: string): Promise<ExchangeResult> {
  return Promise.resolve(Err({stage: 'unwritten', code, detail}));
}

function waitFor(ex: Exchange): void {
  const {spec, clock} = ex;
  const onCancelled = (): void => {
    giveUp(ex, {code: 'cancelled', detail: 'the caller gave up'});
  };
  const cancelTimer = clock.after(spec.deadline - clock.now(), () => {
    giveUp(ex, {code: 'deadline', detail: 'no whole answer by the deadline'});
  });
  spec.signal?.addEventListener('abort', onCancelled);
  let cancelGrant = (): void => {};
  ex.stopWaiting = () => {
    cancelTimer();
    cancelGrant();
    spec.signal?.removeEventListener('abort', onCancelled);
  };
  cancelGrant = ex.connections.acquire(spec.use, connection => {
    if (connection === null) {
      return giveUp(ex, {code: 'stopping', detail: 'the server is given up'});
    }
    ex.connection = connection;
    dispatch(ex, connection);
  });
}

function dispatch(ex: Exchange, {client}: Connection): void {
  const {spec} = ex;
  const body = toDispatchBody(spec.body, {
    mayWrite: () => spec.mayWrite(),
    onWrite: () => markWritten(ex),
    onForbidden: () => {
      ex.reason ??= FORBIDDEN;
    },
    onCut: err => {
      const detail = `the request's body was cut: ${String(err)}`;
      ex.reason ??= {code: 'truncated', detail};
    },
  });
  const method = spec.method as Dispatcher.HttpMethod;
  const headers = spec.headers as string[];
  client.dispatch({method, path: spec.path, headers, body}, createHandler(ex));
}

function createHandler(ex: Exchange): Handler {
  const {spec} = ex;
  const reader = createAnswerReader(spec.method, spec.gatherBytes);
  let isStarted = false;
  return {
    onConnect(abort) {
      ex.abort = abort;
      // Aborted while it connected, and reported as unwritten.
      if (ex.reason !== null) return abort();
      // undici resends a request after some connection losses. The server could
      // then run it twice, so the exchange ends with an unknown outcome.
      if (isStarted) return giveUp(ex, lost('lost after it was written'));
      isStarted = true;
      if (!spec.mayWrite()) return giveUp(ex, FORBIDDEN);
      if (spec.body instanceof Uint8Array) markWritten(ex);
    },
    onHeaders(status, raw, resume) {
      if (status < 200) return true;
      const head = readHead(status, raw);
      if (!acceptHead(ex, head)) return false;
      ex.failStream = reader.fail;
      const abandon = (): void => {
        giveUp(ex, {code: 'cancelled', detail: 'the reader gave up'});
      };
      const streamed = reader.begin(head, {resume, abandon});
      if (streamed !== null) ex.settle(Ok(streamed));
      return true;
    },
    onData: chunk => reader.push(chunk),
    onComplete() {
      ex.stopWaiting();
      release(ex, true);
      const gathered = reader.end();
      if (gathered !== null) ex.settle(Ok(gathered));
    },
    onError(err) {
      const reason = ex.reason ?? reasonOf(err, ex.stage);
      release(ex, false);
      if (reason.code === 'deadline' && ex.stage === 'written') {
        ex.connections.dropUnproved(ex.writtenAt);
      }
      fail(ex, reason);
    },
  };
}

/** Whether to continue with the answer; else aborts the exchange. */
function acceptHead(ex: Exchange, head: AnswerHead): boolean {
  const {requestId, method} = ex.spec;
  // A late or duplicate answer: the outcome of this request is unknown.
  if (requestId !== null && (head.requestId ?? requestId) !== requestId) {
    giveUp(ex, lost("another request's answer"));
    return false;
  }
  ex.stage = 'answering';
  if (head.isDelimited || isBodiless(method, head.status)) return true;
  // A truncated body can't be detected if only the connection's end delimits it.
  const detail = 'the answer does not say where it ends';
  giveUp(ex, {code: 'truncated', detail});
  return false;
}

function markWritten(ex: Exchange): void {
  ex.stage = 'written';
  ex.writtenAt = ex.clock.now();
}

function giveUp(ex: Exchange, reason: Reason): void {
  if (ex.reason !== null) return;
  ex.reason = reason;
  // Nothing was written before the connection is open, and `onConnect` aborts.
  if (ex.abort === null) return fail(ex, reason);
  ex.abort();
}

function fail(ex: Exchange, {code, detail}: Reason): void {
  ex.stopWaiting();
  if (ex.failStream(code, detail)) return;
  ex.settle(Err({stage: ex.stage, code, detail}));
}

function release(ex: Exchange, answered: boolean): void {
  const {connection} = ex;
  if (connection === null) return;
  ex.connection = null;
  ex.connections.release(connection, answered);
}

function reasonOf(err: Error, stage: ExchangeStage): Reason {
  const detail = err.message;
  if (stage === 'answering') return {code: 'truncated', detail};
  const {code} = err as NodeJS.ErrnoException;
  if (stage === 'unwritten' && INVALID_CODES.has(code)) {
    return {code: 'bad-request', detail};
  }
  return lost(detail);
}

function lost(detail: string): Reason {
  return {code: 'connection-lost', detail};
}
