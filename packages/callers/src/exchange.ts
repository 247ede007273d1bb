import type {Canceller} from '@banyandrum/base/cancel.js';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Clock} from '@banyandrum/base/clock.js';
import type {Failure} from '@banyandrum/base/failure.js';
import {failure, failureOf} from '@banyandrum/base/failure.js';
import {createId} from '@banyandrum/base/ids.js';
import type {Logger} from '@banyandrum/base/logger.js';
import type {
  RequestHandler,
  ServiceAnswer,
  ServiceRequest,
} from '@banyandrum/base/request.js';
import {EMPTY_BODY} from '@banyandrum/base/request.js';
import type {Result} from '@banyandrum/base/result.js';
import {Err, Ok} from '@banyandrum/base/result.js';
import type {Admitted} from './admission.js';
import {admit} from './admission.js';
import {closeBody, writeAnswer} from './answer.js';
import type {StreamedBody} from './body.js';
import {
  WHOLE_BODY_BYTES,
  declaredLength,
  readWhole,
  streamBody,
} from './body.js';
import type {Controls} from './controls.js';
import {CORRELATION_HEADER} from './controls.js';
import {selectEndToEnd, toFields} from './headers.js';
import {endAfterRequest} from './linger.js';
import type {PolicyLookup} from './policy.js';
import {sendProblem, toProblem} from './problem.js';
import {within} from './within.js';

/** Dependencies of the exchanges of one interface. */
export interface ExchangeConfig {
  readonly handle: RequestHandler;
  readonly policyOf: PolicyLookup;
  readonly clock: Clock;
  readonly log: Logger;
  /** Timeout for a caller that reads nothing of its response, in ms. */
  readonly stallMs: number;
  /** Whether to close connections after their response. */
  readonly draining: () => boolean;
  /**
   * Monotonic time by which requests that arrive now must end, in ms; those
   * that may take longer are refused.
   */
  readonly endsAt: () => number;
}

/** A request whose headers have been received. */
export interface Arrival {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  /** Aborted when the caller disconnects or the process stops. */
  readonly controller: Canceller;
  /** The caller waits for `100 Continue` before it sends its body. */
  readonly expectsContinue: boolean;
}

/** Time by which a handler may exceed its deadline, in ms. */
const OVERRUN_MS = 250;
/** Retry delay of requests that another router can serve whole, in ms. */
const STOPPING_RETRY_MS = 40;

interface Exchange extends Arrival {
  readonly cfg: ExchangeConfig;
  readonly id: string;
  readonly arrivedAt: number;
}

interface TakenBody {
  readonly body: ServiceRequest['body'];
  readonly streamed: StreamedBody | null;
}

/**
 * Handles one request from its headers to the end of its response. Never
 * rejects.
 *
 * @example
 * ```ts
 * server.on('request', (req, res) => {
 *   const controller = new AbortController();
 *   void serveRequest(cfg, {req, res, controller, expectsContinue: false});
 * });
 * ```
 */
export async function serveRequest(
  cfg: ExchangeConfig,
  arrival: Arrival,
): Promise<void> {
  const {clock} = cfg;
  const {req, res, controller, expectsContinue} = arrival;
  const exchange: Exchange = {
    req,
    res,
    controller,
    expectsContinue,
    cfg,
    id: createId(),
    arrivedAt: clock.now(),
  };
  const fields = toFields(req.rawHeaders);
  const admitted = admit(cfg.policyOf, req, fields, exchange.arrivedAt);
  if (admitted.err) return refuse(exchange, null, admitted.val);
  const {controls, deadline} = admitted.val;
  if (deadline > cfg.endsAt()) {
    const detail = 'the router is stopping';
    const stopping = failure('not-run', 'stopping', detail, STOPPING_RETRY_MS);
    return refuse(exchange, controls, stopping);
  }
  if (expectsContinue) res.writeContinue();
  const taken = await takeBody(exchange, admitted.val);
  if (taken.err) return refuse(exchange, controls, taken.val);
  const request = toServiceRequest(exchange, admitted.val, taken.val.body);
  const result = await runUntil(exchange, request, deadline + OVERRUN_MS);
  if (result.err) {
    const cause = taken.val.streamed?.fault() ?? null;
    return refuse(exchange, controls, explain(exchange, result.val, cause));
  }
  return answer(exchange, controls, result.val);
}

async function takeBody(
  exchange: Exchange,
  {policy, deadline}: Admitted,
): Promise<Result<TakenBody, Failure>> {
  const {req} = exchange;
  const length = declaredLength(req);
  if (length === 0) return Ok({body: EMPTY_BODY, streamed: null});
  if (length === null || length > WHOLE_BODY_BYTES) {
    const streamed = streamBody(req, policy.maxBodyBytes);
    return Ok({body: streamed.chunks, streamed});
  }
  const {clock} = exchange.cfg;
  const late = failure('not-run', 'deadline', 'the body came too slowly');
  const reading = readWhole(req, exchange.controller.signal);
  const body = await within(clock, deadline, reading, late);
  return body.map(bytes => ({body: bytes, streamed: null}));
}

function toServiceRequest(
  {id, req, controller}: Exchange,
  {target, controls, fields, policy, deadline}: Admitted,
  body: ServiceRequest['body'],
): ServiceRequest {
  return {
    id,
    service: target.service,
    key: target.key,
    method: req.method ?? '',
    path: target.path,
    headers: selectEndToEnd(fields),
    body,
    deadline,
    // Callers can't relax the rules, which know which requests are unsafe to
    // repeat.
    once: policy.once || controls.once,
    precedence: policy.precedence,
    caller: controls.caller ?? req.socket.remoteAddress ?? 'unknown',
    signal: controller.signal,
  };
}

/**
 * Runs the handler, which enforces the deadline itself. A handler that exceeds
 * it is abandoned shortly afterwards, so that no caller waits indefinitely.
 */
async function runUntil(
  {cfg, controller}: Exchange,
  req: ServiceRequest,
  limit: number,
): Promise<Result<ServiceAnswer, Failure>> {
  const late = failure('may-have-run', 'deadline', 'no answer in time');
  const running = runHandler(cfg.handle, req);
  const result = await within(cfg.clock, limit, running, late);
  if (result.ok || result.val !== late) return result;
  controller.abort();
  void running.then(left => (left.ok ? closeBody(left.val.body) : undefined));
  return result;
}

async function runHandler(
  handle: RequestHandler,
  req: ServiceRequest,
): Promise<Result<ServiceAnswer, Failure>> {
  try {
    return await handle(req);
  } catch (err) {
    return Err(failureOf(err, 'may-have-run'));
  }
}

/** Keeps the handler's verdict, with a more specific cause if there is one. */
function explain(
  {res, controller}: Exchange,
  failed: Failure,
  cause: Failure | null,
): Failure {
  const {verdict, code} = failed;
  if (cause !== null) return failure(verdict, cause.code, cause.detail);
  const given = controller.signal.aborted && !res.destroyed;
  if (code !== 'cancelled' || !given) return failed;
  // The caller is still connected, so the router itself cancelled the request.
  return failure(verdict, 'stopping', 'the router is stopping');
}

async function answer(
  exchange: Exchange,
  controls: Controls,
  answered: ServiceAnswer,
): Promise<void> {
  const {cfg, res, req, id} = exchange;
  if (res.destroyed) return closeBody(answered.body);
  const extra = ['banyandrum-request-id', id];
  extra.push(...commonHeaders(exchange, controls, true));
  const context = {res, clock: cfg.clock, extra, stallMs: cfg.stallMs};
  const outcome = await writeAnswer(context, answered);
  // An unread rest of the body would block the connection's next request: Node
  // only discards bodies that nobody has started to read.
  if (outcome.kind === 'sent') return void req.resume();
  const {code, detail} = outcome.failure;
  cfg.log.warn('answer not given whole', {id, code, detail, url: req.url});
  if (outcome.kind === 'unsent') refuse(exchange, controls, outcome.failure);
}

function refuse(
  exchange: Exchange,
  controls: Controls | null,
  failed: Failure,
): void {
  const {cfg, req, res, id} = exchange;
  if (res.destroyed) return;
  const reusable = req.complete;
  const extra = commonHeaders(exchange, controls, reusable);
  sendProblem(res, toProblem(failed, id), extra);
  endAfterRequest(req, res, cfg.clock);
}

function commonHeaders(
  {cfg}: Exchange,
  controls: Controls | null,
  reusable: boolean,
): string[] {
  const headers: string[] = [];
  const correlation = controls?.correlation ?? null;
  if (correlation !== null) headers.push(CORRELATION_HEADER, correlation);
  if (!reusable || cfg.draining()) headers.push('connection', 'close');
  return headers;
}
