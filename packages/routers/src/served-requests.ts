import {
  createCanceller,
  type Canceller,
  type CancelSignal,
} from '@banyandrum/base/cancel.js';
import type {Clock} from '@banyandrum/base/clock.js';
import {
  failure,
  failureOf,
  FailureError,
  type Failure,
} from '@banyandrum/base/failure.js';
import {
  EMPTY_BODY,
  type Body,
  type RequestHandler,
  type ServiceAnswer,
  type ServiceRequest,
} from '@banyandrum/base/request.js';
import type {Result} from '@banyandrum/base/result.js';
import type {FrameReceivers, RequestHeadFrame} from './frames.js';
import {createInbox, type Inbox} from './inbox.js';
import {RETRY_AFTER_MS, WINDOW_BYTES} from './limits.js';
import {isHeadTooLong, toFailureFrame, toHeaders} from './notes.js';
import {discardBody, fitsHead, startPump, type Pump} from './pump.js';
import {LANES, type Sender} from './sender.js';

/** The requests that another router has sent on one stream. */
export interface ServedRequests {
  readonly receivers: FrameReceivers;
  count(): number;
  /** The stream is lost: gives all of them up. */
  end(): void;
}

export interface ServedRequestsOptions {
  readonly clock: Clock;
  readonly sender: Sender;
  readonly handleRequest: RequestHandler;
  readonly maxRequests: number;
  /** The window that the other side grants for a body, in bytes. */
  readonly peerWindowBytes: number;
  readonly isStopping: () => boolean;
  /** Called when the last one has ended. */
  readonly onIdle: () => void;
}

interface Served {
  readonly id: number;
  readonly controller: Canceller;
  readonly inbox: Inbox | null;
  pump: Pump | null;
}

/** Keeps the table of requests that are being served on one stream. */
export function createServedRequests(
  options: ServedRequestsOptions,
): ServedRequests {
  const {clock, sender, handleRequest, peerWindowBytes, onIdle} = options;
  const table = new Map<number, Served>();
  let lastId = 0;

  const settle = (served: Served): void => {
    if (!table.delete(served.id)) return;
    served.pump?.stop();
    if (table.size === 0) onIdle();
  };

  const sendFailure = (id: number, why: Failure): void => {
    sender.push(LANES.heads, {id, failure: toFailureFrame(why)});
  };

  const giveUp = (served: Served): void => {
    settle(served);
    served.inbox?.fail(GIVEN_UP);
    served.controller.abort();
  };

  const sendAnswer = (served: Served, answer: ServiceAnswer): void => {
    const {id} = served;
    const {status, headers, body} = answer;
    const whole = fitsHead(body);
    const inline = fitsHead(body) ? body : EMPTY_BODY;
    const answerHead = {status, headers, body: inline, whole};
    sender.push(LANES.heads, {id, answerHead}, inline.length);
    if (whole) settle(served);
    else served.pump = startAnswerBody(served, body);
  };

  const startAnswerBody = (served: Served, body: Body): Pump =>
    startPump({
      id: served.id,
      body,
      sender,
      windowBytes: peerWindowBytes,
      onEnd: () => settle(served),
      onError: err => {
        sendFailure(served.id, toCutFailure(err));
        settle(served);
      },
    });

  const onAnswer = (
    served: Served,
    answer: Result<ServiceAnswer, Failure>,
  ): void => {
    if (!table.has(served.id)) {
      if (answer.ok) discardBody(answer.val.body);
      return;
    }
    if (answer.ok && isHeadTooLong(answer.val.headers, 0)) {
      discardBody(answer.val.body);
      sendFailure(served.id, HEAD_TOO_LONG);
      settle(served);
    } else if (answer.ok) {
      sendAnswer(served, answer.val);
    } else {
      sendFailure(served.id, answer.val);
      settle(served);
    }
  };

  const onThrown = (served: Served, err: unknown): void => {
    if (!table.has(served.id)) return;
    sendFailure(served.id, failureOf(err, 'may-have-run'));
    settle(served);
  };

  const openBody = (id: number): Inbox =>
    createInbox({
      windowBytes: WINDOW_BYTES,
      onCredit: bytes => sender.push(LANES.control, {id, credit: {bytes}}),
      onAbandoned: () => {},
    });

  const start = (id: number, head: RequestHeadFrame): void => {
    const controller = createCanceller();
    const inbox = head.whole ? null : openBody(id);
    const served: Served = {id, controller, inbox, pump: null};
    table.set(id, served);
    const body = inbox === null ? head.body : inbox.body;
    const req = toRequest(head, body, controller.signal, clock.now());
    callHandler(handleRequest, req).then(
      answer => onAnswer(served, answer),
      err => onThrown(served, err),
    );
  };

  return {
    receivers: {
      requestHead(id, head) {
        // Else a repeated id could join one request's body to another's.
        if (!(id > lastId)) throw new Error(`request id ${id} used before`);
        lastId = id;
        if (!(head.remainingMs >= 0)) throw new Error('no time left is given');
        if (options.isStopping()) sendFailure(id, STOPPING);
        else if (table.size >= options.maxRequests) sendFailure(id, FULL);
        else start(id, head);
      },
      chunk(id, {bytes, last}) {
        const served = table.get(id);
        if (served === undefined) return;
        if (served.inbox === null) throw new Error('chunk after a whole body');
        if (!served.inbox.push(bytes)) throw new Error('window exceeded');
        if (last) served.inbox.end();
      },
      credit(id, {bytes}) {
        table.get(id)?.pump?.grant(bytes);
      },
      cancel(id) {
        const served = table.get(id);
        if (served !== undefined) giveUp(served);
      },
    },
    count: () => table.size,
    end() {
      for (const served of [...table.values()]) giveUp(served);
    },
  };
}

const GIVEN_UP = failure(
  'may-have-run',
  'cancelled',
  'the router that asked gave up',
);
const STOPPING = failure(
  'not-run',
  'stopping',
  'router is stopping',
  RETRY_AFTER_MS,
);
const FULL = failure(
  'not-run',
  'overloaded',
  'too many requests in flight on this stream',
  RETRY_AFTER_MS,
);
const HEAD_TOO_LONG = failure(
  'ran',
  'too-large',
  'head of the answer is too long',
);

function toRequest(
  head: RequestHeadFrame,
  body: Body,
  signal: CancelSignal,
  now: number,
): ServiceRequest {
  return {
    id: head.requestId,
    service: head.service,
    key: head.key,
    method: head.method,
    path: head.path,
    headers: toHeaders(head.headers),
    body,
    deadline: now + head.remainingMs,
    once: head.once,
    precedence: head.precedence,
    caller: head.caller,
    signal,
  };
}

/** Turns a handler that throws at once into one that rejects. */
async function callHandler(
  handle: RequestHandler,
  req: ServiceRequest,
): Promise<Result<ServiceAnswer, Failure>> {
  return handle(req);
}

/** The answer had begun, so the request ran. */
function toCutFailure(err: unknown): Failure {
  if (err instanceof FailureError) return err.failure;
  return failure('ran', 'truncated', String(err));
}
