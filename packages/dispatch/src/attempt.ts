import type {Socket} from 'node:net';
import type {Clock} from '@banyandrum/base/clock.js';
import type {Dispatcher} from 'undici';
import {createBodyBuffer} from './body-buffer.js';
import {isMostlyFraming, type ExceededLimit} from './answer-limits.js';
import {resetConnection, type Connection} from './connections.js';
import type {WireNames} from './wire.js';

/** One request to one server. */
export interface AttemptSpec {
  readonly method: string;
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer | null;
  readonly requestId: string;
  /** Time limit for receiving the complete answer, in ms. */
  readonly withinMs: number;
  /** Time limit for opening the connection, in ms; that of the pool if absent. */
  readonly connectWithinMs?: number;
  /** If present, the request is only written to this socket. */
  readonly onlySocket?: Socket;
}

/** A complete answer from a server. */
export interface Answer {
  readonly status: number;
  /** Alternating names and values, with the server's capitalization. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** Headers by lower-case name; of repeated headers, the last one. */
  readonly fields: ReadonlyMap<string, string>;
}

/** Why no complete answer was received. */
export type LossReason =
  | 'not-connected'
  | 'connection-lost'
  | 'truncated'
  /** The answer was larger than the limits allow. */
  | 'too-large'
  | 'mismatched'
  /** The answer's status is none in HTTP. */
  | 'invalid-status'
  | 'timeout'
  /** No answer came, and no other connection to the server can be opened. */
  | 'silent'
  /** The router that sent it for this one was lost; it may have been sent. */
  | 'carrier-lost'
  /** The server can't be reached, and no other router could be asked. */
  | 'no-way'
  | 'cancelled';

/** Result of an attempt. */
export type AttemptResult =
  | {readonly kind: 'answered'; readonly answer: Answer}
  | {
      readonly kind: 'lost';
      readonly reason: LossReason;
      /**
       * Whether the request was written, so the server may have received it.
       */
      readonly isWritten: boolean;
      readonly detail: string;
      /** Header fields received for this request before the loss, if any. */
      readonly fields: Answer['fields'];
    };

/** An attempt in progress. */
export interface Attempt {
  readonly result: Promise<AttemptResult>;
  /** Aborts the request and resets its connection; `reason` is the result. */
  abort(reason: 'timeout' | 'cancelled' | 'silent'): void;
  /** Cancels the request unless it was written. */
  abortUnwritten(): void;
}

/** The highest status in HTTP; the HTTP client refuses those below 100. */
const MAX_STATUS = 599;
const TOO_LARGE = 'the answer exceeds the size limits';
const NO_FIELDS: Answer['fields'] = new Map();

type Handler = Parameters<Dispatcher['dispatch']>[1];

/**
 * Sends one request on `connection` and collects its answer. The connection may
 * be reused only if the result is `answered`.
 *
 * @example
 * ```ts
 * const attempt = startAttempt(connection, names, clock, spec);
 * const result = await attempt.result;
 * ```
 */
export function startAttempt(
  connection: Connection,
  names: WireNames,
  clock: Clock,
  spec: AttemptSpec,
): Attempt {
  const body = createBodyBuffer();
  let size = 0;
  let status = 0;
  let rawHeaders: string[] = [];
  let fields = NO_FIELDS;
  let isWritten = false;
  let isSettled = false;
  let abortReason: LossReason | null = null;
  let abortDispatch: (() => void) | null = null;
  let settle: (result: AttemptResult) => void = () => undefined;
  const result = new Promise<AttemptResult>(resolve => {
    settle = resolve;
  });
  const {answers} = connection;
  const stopCounting = (): void => {
    isSettled = true;
    connection.onReceived = null;
    answers.release(size);
    size = 0;
  };
  const settleLost = (reason: LossReason, detail: string): void => {
    cancelTimer();
    stopCounting();
    settle({kind: 'lost', reason, isWritten, detail, fields});
  };
  const exceed = (limit: ExceededLimit): void => {
    if (abortReason !== null) return;
    answers.noteExceeded(limit);
    body.clear();
    stopCounting();
    abort('too-large');
  };
  const abort = (reason: LossReason): void => {
    if (abortReason !== null) return;
    abortReason = reason;
    if (abortDispatch !== null) {
      resetConnection(connection);
      // undici takes the end of the connection for that of a body without a
      // length, and fails if its request was aborted before.
      return status === 0 ? abortDispatch() : undefined;
    }
    // The connection isn't open yet; `onConnect` then aborts before writing.
    settleLost(reason, 'aborted before the request was written');
  };
  const deadline = clock.now() + spec.withinMs;
  const cancelDeadline = clock.after(spec.withinMs, () => abort('timeout'));
  const cancelConnect =
    spec.connectWithinMs === undefined
      ? (): void => undefined
      : clock.after(spec.connectWithinMs, () => {
          if (!isWritten) abort('not-connected');
        });
  const cancelTimer = (): void => {
    cancelDeadline();
    cancelConnect();
  };

  const handler: Handler = {
    onConnect(abortRequest) {
      abortDispatch = abortRequest;
      if (abortReason !== null) return abortRequest();
      // undici resends a request after some connection losses. The server could
      // then run it twice, so the attempt ends as lost instead.
      if (isWritten) return abort('connection-lost');
      // After a pause, the connection opens before the timer above fires.
      if (clock.now() >= deadline) return abort('timeout');
      // undici opens another socket if this one was closed.
      if (
        spec.onlySocket !== undefined &&
        connection.socket !== spec.onlySocket
      )
        return abort('not-connected');
      isWritten = true;
      const before = connection.socket?.bytesRead ?? 0;
      connection.onReceived = bytes => {
        const received = bytes - before;
        if (received > answers.maxBytes) return exceed('answer');
        if (!isMostlyFraming(received, size)) return;
        // The HTTP client has read them by then; they may be the body.
        queueMicrotask(() => {
          if (!isSettled && isMostlyFraming(received, size)) exceed('answer');
        });
      };
    },
    onHeaders(code, raw) {
      if (code < 200) return true;
      status = code;
      if (code > MAX_STATUS) abort('invalid-status');
      // Field values are bytes; decoding them as UTF-8 would change those beyond
      // ASCII, or make them invalid.
      rawHeaders = raw.map(each => each.toString('latin1'));
      fields = toFieldMap(rawHeaders);
      const id = fields.get(names.requestId);
      // A late or duplicate answer to an earlier request. Later answers on this
      // connection can't be matched to requests either.
      if (isMismatched(connection, id, spec.requestId)) {
        fields = NO_FIELDS;
        abort('mismatched');
      }
      connection.returnsIds ||= id !== undefined;
      const length = Number(fields.get('content-length') ?? 0);
      if (!hasBody(spec.method, status)) return true;
      if (length > answers.maxBytes) exceed('answer');
      else if (length > 0 && abortReason === null) body.expect(length);
      return true;
    },
    onData(chunk) {
      if (abortReason !== null) return true;
      if (!answers.tryHold(chunk.length)) {
        exceed('total');
        return true;
      }
      body.append(chunk);
      size += chunk.length;
      return true;
    },
    onComplete() {
      if (abortReason !== null)
        return settleLost(abortReason, detailOf(abortReason, 'aborted'));
      if (!isComplete(spec.method, status, fields, size, connection)) {
        return settleLost('truncated', 'the answer is truncated');
      }
      cancelTimer();
      connection.lastAnswerAt = clock.now();
      if (fields.has(names.notRun)) connection.refusedIds.add(spec.requestId);
      stopCounting();
      const content = body.toBuffer();
      const answer = {status, headers: rawHeaders, body: content, fields};
      settle({kind: 'answered', answer});
    },
    onError(err) {
      const reason = abortReason ?? lossReason(isWritten, status);
      settleLost(reason, detailOf(reason, err.message));
    },
  };
  connection.client.dispatch(
    {
      method: spec.method as Dispatcher.HttpMethod,
      path: spec.path,
      headers: spec.headers as string[],
      body: spec.body,
    },
    handler,
  );
  const abortUnwritten = (): void => {
    if (!isWritten) abort('cancelled');
  };
  return {result, abort, abortUnwritten};
}

function detailOf(reason: LossReason, otherwise: string): string {
  return reason === 'too-large' ? TOO_LARGE : otherwise;
}

/**
 * Whether the answer with this id belongs to another request. One without an id
 * can't be told from a copy of an earlier one, so it only counts on connections
 * of servers that return none.
 */
function isMismatched(
  {returnsIds}: Connection,
  id: string | undefined,
  requestId: string,
): boolean {
  return id === undefined ? returnsIds : id !== requestId;
}

/** Whether an answer to this method with this status has a body. */
function hasBody(method: string, status: number): boolean {
  return method !== 'HEAD' && status !== 204 && status !== 304;
}

/** Whether an answer delimits its body and the whole body was received. */
function isComplete(
  method: string,
  status: number,
  fields: ReadonlyMap<string, string>,
  size: number,
  {socketState}: Connection,
): boolean {
  if (!hasBody(method, status)) return true;
  const length = fields.get('content-length');
  if (length !== undefined) return Number(length) === size;
  // A body that is delimited by the end of the connection can't be told from a
  // truncated one. Without a length, only a chunked body counts as complete,
  // and only if the connection is still open.
  return fields.has('transfer-encoding') && socketState === 'open';
}

function lossReason(isWritten: boolean, status: number): LossReason {
  if (!isWritten) return 'not-connected';
  return status === 0 ? 'connection-lost' : 'truncated';
}

/** Returns the headers by lower-case name; of repeated ones, the last. */
export function toFieldMap(
  raw: readonly string[],
): ReadonlyMap<string, string> {
  const fields = new Map<string, string>();
  for (let at = 0; at + 1 < raw.length; at += 2) {
    fields.set(raw[at]!.toLowerCase(), raw[at + 1]!);
  }
  return fields;
}
