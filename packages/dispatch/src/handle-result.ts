import {failure} from '@banyandrum/base/failure.js';
import type {Answer, AttemptResult} from './attempt.js';
import {noteAnswer, noteLoss, eject, type Backend} from './backend.js';
import {
  failureReply,
  finalReply,
  type ForwardState,
  type Reply,
} from './forward-state.js';
import type {SlotOutcome} from './slots.js';
import {isOtherServer} from './server-run.js';
import {readLoad, type WireNames} from './wire.js';

/**
 * The one server that holds the key turned the request away, though it had a
 * free slot by the leader's count: it is no queue that the caller must wait
 * out. It comes back at once, in ms, while its answer can still be in time.
 */
const OWNER_REFUSED_RETRY_MS = 30;

/** Whether the server answered that it did not run the request. */
function isRefusal(names: WireNames, end: AttemptResult): boolean {
  return end.kind === 'answered' && end.answer.fields.has(names.notRun);
}

/** How an attempt ended, for whoever handed out its place. */
export function slotOutcomeOf(
  names: WireNames,
  end: AttemptResult,
): SlotOutcome {
  if (end.kind === 'lost') {
    if (end.reason === 'cancelled') return 'cancelled';
    return end.isWritten ? 'lost' : 'unreached';
  }
  const {answer} = end;
  if (isRefusal(names, end)) return 'refused';
  return isFailure(names, answer) ? 'failed' : 'answered';
}

/**
 * Takes the end of an attempt into account. Yields what the caller gets; null
 * where another attempt may do better.
 */
export function handleResult(
  journey: ForwardState,
  backend: Backend,
  end: AttemptResult,
  sentAt: number,
  ahead: number,
): Reply | null {
  const {cfg, req} = journey;
  const now = cfg.clock.now();
  const tookMs = now - sentAt;
  const common = {
    id: req.id,
    server: backend.info.id,
    tookMs: roundToTenth(tookMs),
  };
  if (end.kind === 'lost') {
    const {reason, isWritten, detail} = end;
    cfg.emit('attempt-lost', {
      ...{...common, reason, isWritten, detail},
      ...(isWritten && {caller: req.caller, ...req.contents()}),
    });
    return handleLoss(journey, backend, end, sentAt);
  }
  const {answer} = end;
  const {fields, status} = answer;
  const load = readLoad(fields.get(cfg.names.load));
  journey.sentCount++;
  if (isRefusal(cfg.names, end)) {
    cfg.emit('attempt-refused', {...common, status});
    noteAnswer(backend, now, tookMs, ahead, status === 421, load);
    return handleRefusal(journey, backend, answer);
  }
  journey.possibleRuns++;
  const hasFailed = isFailure(cfg.names, answer);
  noteAnswer(backend, now, tookMs, ahead, hasFailed, load);
  if (!hasFailed) {
    return {kind: 'answer', answer, server: backend.info.id};
  }
  cfg.emit('attempt-failed', {...common, status});
  return handleFailure(journey, backend, answer);
}

/** Whether the server failed the request, or its answer can't be trusted. */
function isFailure(names: WireNames, answer: Answer): boolean {
  return answer.status >= 500 || isUnsigned(names, answer);
}

function isUnsigned(names: WireNames, {status, fields}: Answer): boolean {
  return status < 300 && !fields.has(names.signature);
}

function handleLoss(
  journey: ForwardState,
  backend: Backend,
  end: AttemptResult & {kind: 'lost'},
  sentAt: number,
): Reply | null {
  const {cfg, req} = journey;
  const now = cfg.clock.now();
  if (end.reason === 'cancelled') return finalReply(journey);
  noteLoss(backend, now, now - sentAt);
  if (!end.isWritten) {
    eject(backend, now);
    journey.excluded.add(backend.info.id);
    return null;
  }
  journey.sentCount++;
  journey.possibleRuns++;
  if (end.reason === 'timeout')
    backend.connections.closeIdleUnansweredSince(sentAt);
  else if (end.reason === 'connection-lost') eject(backend, now);
  const code = end.reason === 'timeout' ? 'deadline' : 'connection-lost';
  journey.unknownOutcome = failure('may-have-run', code, end.detail);
  if (req.route.kind === 'once') return failureReply(journey.unknownOutcome);
  journey.excluded.add(backend.info.id);
  return null;
}

function handleRefusal(
  journey: ForwardState,
  backend: Backend,
  answer: Answer,
): Reply | null {
  const {cfg, req, excluded} = journey;
  const {id} = backend.info;
  const other = answer.fields.get(cfg.names.serverId);
  if (answer.status === 421 && isOtherServer(id, other)) {
    backend.isReplaced = true;
    cfg.owners.noteReplaced(id);
  } else if (answer.status === 421 && req.key !== null) {
    cfg.owners.noteNotHeld(req.service, req.key, id);
  }
  if (req.key === null) excluded.add(id);
  if (answer.status !== 421) {
    journey.cause = 'refused';
    if (req.key !== null) journey.retryAfterMs = OWNER_REFUSED_RETRY_MS;
  }
  return null;
}

function handleFailure(
  journey: ForwardState,
  backend: Backend,
  answer: Answer,
): Reply | null {
  const {cfg, req} = journey;
  if (isUnsigned(cfg.names, answer)) {
    journey.unknownOutcome = failure(
      'ran',
      'truncated',
      'the answer is not whole',
    );
    if (req.route.kind === 'once') return failureReply(journey.unknownOutcome);
  } else {
    journey.serverFailure = {kind: 'answer', answer, server: backend.info.id};
    if (req.route.kind === 'once') return journey.serverFailure;
  }
  journey.excluded.add(backend.info.id);
  return null;
}

function roundToTenth(ms: number): number {
  return Math.round(ms * 10) / 10;
}
