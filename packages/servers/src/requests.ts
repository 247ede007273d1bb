import type {Clock} from '@banyandrum/base/clock.js';
import type {Failure, FailureCode} from '@banyandrum/base/failure.js';
import {failure} from '@banyandrum/base/failure.js';
import type {ServiceAnswer} from '@banyandrum/base/request.js';
import {Err, Ok} from '@banyandrum/base/result.js';
import type {Result} from '@banyandrum/base/result.js';
import type {Verdict} from '@banyandrum/base/verdict.js';
import type {ServerAnswer} from './answer-reader.js';
import type {Dispatch, Stamp} from './client.js';
import type {Connections} from './connections.js';
import {exchange} from './exchange.js';
import type {ExchangeError, ExchangeStage} from './exchange.js';
import {addForwarded, encodeField} from './fields.js';
import type {AnswerHead} from './fields.js';
import * as names from './headers.js';

const VERDICTS: Readonly<Record<ExchangeStage, Verdict>> = {
  unwritten: 'not-run',
  written: 'may-have-run',
  answering: 'ran',
};

/** Failure codes of explicit refusals, by status. */
const REFUSALS: Readonly<Record<number, FailureCode>> = {
  408: 'deadline',
  421: 'fenced',
  503: 'overloaded',
};

/** Methods that can't be forwarded as plain requests. */
const FORBIDDEN_METHODS: ReadonlySet<string> = new Set(['CONNECT', 'TRACE']);

const PATH = /^(?:[/?][\x21\x22\x24-\x7e]*)?$/;
const DOTS = /^\.{1,2}$/;

/**
 * Sends one request, which is written at most once. A failure's verdict is
 * `not-run` only if nothing was written or the server refused explicitly.
 *
 * @example
 * ```ts
 * const result = await sendRequest(connections, clock, dispatch, 65_536);
 * if (result.err) return retryIfNotRun(result.val);
 * ```
 */
export async function sendRequest(
  connections: Connections,
  clock: Clock,
  dispatch: Dispatch,
  gatherBytes: number,
): Promise<Result<ServiceAnswer, Failure>> {
  const {req} = dispatch;
  const path = pathOf(dispatch);
  if (path === null || FORBIDDEN_METHODS.has(req.method)) {
    return Err(failure('not-run', 'bad-request', 'invalid target or method'));
  }
  const result = await exchange(connections, clock, {
    use: 'request',
    method: req.method,
    path,
    headers: headersOf(dispatch),
    body: req.body,
    requestId: req.id,
    deadline: req.deadline,
    signal: req.signal,
    gatherBytes,
    mayWrite: () => dispatch.mayWrite(),
  });
  if (result.err) return Err(failureOf(result.val));
  return answerOf(result.val);
}

function answerOf({head, body}: ServerAnswer): Result<ServiceAnswer, Failure> {
  if (head.verdict !== 'not-run') {
    return Ok({status: head.status, headers: head.fields, body});
  }
  discard(body);
  return Err(refusalOf(head));
}

function refusalOf({status, retryAfterMs}: AnswerHead): Failure {
  const code = REFUSALS[status] ?? 'refused';
  const detail = `the server refused with ${status}`;
  return failure('not-run', code, detail, retryAfterMs ?? undefined);
}

function failureOf({stage, code, detail}: ExchangeError): Failure {
  return failure(VERDICTS[stage], code, detail);
}

function discard(body: ServiceAnswer['body']): void {
  if (body instanceof Uint8Array) return;
  void body[Symbol.asyncIterator]().return?.();
}

/** Returns the request target, or null if it is invalid. */
function pathOf({req}: Dispatch): string | null {
  if (!PATH.test(req.path) || DOTS.test(req.key)) return null;
  try {
    const service = encodeURIComponent(req.service);
    return `/${service}/${encodeURIComponent(req.key)}${req.path}`;
  } catch {
    // A key with an unpaired surrogate can't be encoded as UTF-8.
    return null;
  }
}

function headersOf({
  req,
  cell,
  shard,
  fence,
  serverDeadline,
  serverStartBy,
}: Dispatch): string[] {
  const list = [
    names.REQUEST_ID,
    req.id,
    names.CELL,
    encodeField(cell),
    names.SHARD,
    encodeField(shard),
    names.FENCE,
    `${fence.epoch}.${fence.sequence}`,
    names.DEADLINE,
    encodeStamp(serverDeadline),
    names.START_BY,
    encodeStamp(serverStartBy),
  ];
  if (req.once) list.push(names.ONCE, '1');
  addForwarded(list, req.headers, !(req.body instanceof Uint8Array));
  return list;
}

/** Encodes a stamp in whole ms, rounded down. */
function encodeStamp({boot, ms}: Stamp): string {
  return `${boot}.${Math.floor(ms)}`;
}
