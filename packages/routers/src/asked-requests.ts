import type {CancelTimer, Clock} from '@banyandrum/base/clock.js';
import {
  failure,
  failureOf,
  type Failure,
  type FailureCode,
} from '@banyandrum/base/failure.js';
import {
  EMPTY_BODY,
  type ServiceAnswer,
  type ServiceRequest,
} from '@banyandrum/base/request.js';
import {Err, Ok, type Result} from '@banyandrum/base/result.js';
import type {AnswerHeadFrame, Frame, FrameReceivers} from './frames.js';
import {createInbox, type Inbox} from './inbox.js';
import {RETRY_AFTER_MS, WINDOW_BYTES} from './limits.js';
import {isHeadTooLong, toFailure, toHeaders} from './notes.js';
import {fitsHead, startPump, type Pump} from './pump.js';
import {LANES, type Outgoing, type Sender} from './sender.js';

/** The requests that this router has asked on one stream. */
export interface AskedRequests {
  send(req: ServiceRequest): Promise<Result<ServiceAnswer, Failure>>;
  readonly receivers: FrameReceivers;
  count(): number;
  /** The stream is lost: ends all of them. */
  end(detail: string): void;
}

export interface AskedRequestsOptions {
  readonly clock: Clock;
  readonly sender: Sender;
  /** The window that the other side grants for a body, in bytes. */
  readonly peerWindowBytes: number;
  /** Called when the last one has ended. */
  readonly onIdle: () => void;
}

interface Pending {
  readonly id: number;
  readonly resolve: (result: Result<ServiceAnswer, Failure>) => void;
  readonly head: Outgoing;
  readonly release: () => void;
  pump: Pump | null;
  inbox: Inbox | null;
}

/** Timers of Node.js fire at once where they are set for longer. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/**
 * Keeps the table of requests under way. Ids are never used twice and the
 * table belongs to one stream, so that an answer that comes late finds no
 * entry and is dropped instead of reaching another caller.
 */
export function createAskedRequests(
  options: AskedRequestsOptions,
): AskedRequests {
  const {clock, sender, peerWindowBytes, onIdle} = options;
  const table = new Map<number, Pending>();
  let lastId = 0;

  const settle = (pending: Pending): void => {
    table.delete(pending.id);
    pending.release();
    pending.pump?.stop();
    if (table.size === 0) onIdle();
  };

  const fail = (pending: Pending, why: Failure): void => {
    settle(pending);
    if (pending.inbox === null) pending.resolve(Err(why));
    else pending.inbox.fail(why);
  };

  const cancel = (pending: Pending): void => {
    if (pending.head.state === 'written') {
      sender.push(LANES.control, {id: pending.id, cancel: {}});
    } else {
      pending.head.state = 'dropped';
    }
  };

  const giveUp = (id: number, code: FailureCode, detail: string): void => {
    const pending = table.get(id);
    if (pending === undefined) return;
    cancel(pending);
    fail(pending, describeEnd(pending, code, detail));
  };

  const startBody = (pending: Pending, req: ServiceRequest): Pump =>
    startPump({
      id: pending.id,
      body: req.body,
      sender,
      windowBytes: peerWindowBytes,
      onEnd: () => (pending.pump = null),
      onError: err => {
        if (!table.has(pending.id)) return;
        cancel(pending);
        const {code, detail} = failureOf(err, 'may-have-run');
        fail(pending, describeEnd(pending, code, detail));
      },
    });

  const start = (req: ServiceRequest, resolve: Pending['resolve']): Pending => {
    const id = ++lastId;
    const frame = toRequestFrame(id, req);
    const bytes = frame.requestHead?.body.length ?? 0;
    const head = sender.push(LANES.heads, frame, bytes, req.deadline);
    const onAbort = (): void => giveUp(id, 'cancelled', 'caller gave up');
    const stopTimer: CancelTimer = clock.after(
      Math.min(MAX_TIMER_MS, req.deadline - clock.now()),
      () => giveUp(id, 'deadline', 'no answer by the deadline'),
    );
    req.signal.addEventListener('abort', onAbort);
    const release = (): void => {
      stopTimer();
      req.signal.removeEventListener('abort', onAbort);
    };
    return {id, resolve, head, release, pump: null, inbox: null};
  };

  const openBody = (pending: Pending): Inbox =>
    createInbox({
      windowBytes: WINDOW_BYTES,
      onCredit: bytes =>
        sender.push(LANES.control, {id: pending.id, credit: {bytes}}),
      onAbandoned: () => {
        cancel(pending);
        settle(pending);
      },
    });

  const onAnswerHead = (id: number, head: AnswerHeadFrame): void => {
    const pending = table.get(id);
    if (pending === undefined) return;
    if (pending.inbox !== null) throw new Error('second head of an answer');
    const {status} = head;
    const headers = toHeaders(head.headers);
    if (head.whole) {
      settle(pending);
      pending.resolve(Ok({status, headers, body: head.body}));
      return;
    }
    pending.inbox = openBody(pending);
    pending.resolve(Ok({status, headers, body: pending.inbox.body}));
  };

  return {
    send(req) {
      const refusal = refuse(req, clock);
      if (refusal !== null) return Promise.resolve(Err(refusal));
      return new Promise(resolve => {
        const pending = start(req, resolve);
        table.set(pending.id, pending);
        if (!fitsHead(req.body)) pending.pump = startBody(pending, req);
      });
    },
    receivers: {
      answerHead: onAnswerHead,
      chunk(id, {bytes, last}) {
        const pending = table.get(id);
        if (pending === undefined) return;
        if (pending.inbox === null) throw new Error('chunk before its head');
        if (!pending.inbox.push(bytes)) throw new Error('window exceeded');
        if (!last) return;
        settle(pending);
        pending.inbox.end();
      },
      credit(id, {bytes}) {
        table.get(id)?.pump?.grant(bytes);
      },
      failure(id, frame) {
        const pending = table.get(id);
        if (pending !== undefined) fail(pending, toFailure(frame));
      },
    },
    count: () => table.size,
    end(detail) {
      for (const pending of [...table.values()]) {
        fail(pending, describeLoss(pending, detail));
      }
    },
  };
}

/** Why a request cannot be sent, whatever the stream; null where it can. */
export function refuse(req: ServiceRequest, clock: Clock): Failure | null {
  if (req.signal.aborted) {
    return failure('not-run', 'cancelled', 'caller gave up');
  }
  if (req.deadline <= clock.now()) {
    return failure('not-run', 'deadline', 'no time left', RETRY_AFTER_MS);
  }
  const chars =
    req.id.length + req.key.length + req.path.length + req.caller.length;
  if (isHeadTooLong(req.headers, chars)) {
    return failure('not-run', 'too-large', 'head of the request is too long');
  }
  return null;
}

function toRequestFrame(id: number, req: ServiceRequest): Frame {
  const whole = fitsHead(req.body);
  return {
    id,
    requestHead: {
      requestId: req.id,
      service: req.service,
      key: req.key,
      method: req.method,
      path: req.path,
      headers: req.headers,
      remainingMs: 0,
      once: req.once,
      precedence: req.precedence,
      caller: req.caller,
      body: fitsHead(req.body) ? req.body : EMPTY_BODY,
      whole,
    },
  };
}

/** A request ended from this side. */
function describeEnd(
  pending: Pending,
  code: FailureCode,
  detail: string,
): Failure {
  if (pending.inbox !== null) return failure('ran', code, detail);
  if (pending.head.state === 'written') {
    return failure('may-have-run', code, detail);
  }
  return failure('not-run', code, detail, RETRY_AFTER_MS);
}

/** A request ended by the loss of its stream. */
function describeLoss(pending: Pending, detail: string): Failure {
  if (pending.inbox !== null) return failure('ran', 'truncated', detail);
  return describeEnd(pending, 'connection-lost', detail);
}
