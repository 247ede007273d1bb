import {failure} from '@banyandrum/base/failure.js';
import type {Answer, AttemptEnd} from './attempt.js';
import {noteAnswer, noteLoss, suspect, type Backend} from './backend.js';
import {fail, giveUp, type Journey, type Reply} from './journey.js';
import type {PlaceEnd} from './places.js';
import {isOtherServer} from './server-run.js';
import {readLoad, type WireNames} from './wire.js';

/**
 * The one server that holds the key turned the request away, though it had a
 * free slot by the leader's count: it is no queue that the caller must wait
 * out. It comes back at once, in ms, while its answer can still be in time.
 */
const TURNED_AWAY_MS = 30;

/** Whether the server answered that it did not run the request. */
function isRefusal(names: WireNames, end: AttemptEnd): boolean {
  return end.kind === 'answered' && end.answer.fields.has(names.notRun);
}

/** How an attempt ended, for whoever handed out its place. */
export function placeEndOf(names: WireNames, end: AttemptEnd): PlaceEnd {
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
export function takeEnd(
  journey: Journey,
  backend: Backend,
  end: AttemptEnd,
  sentAt: number,
  ahead: number,
): Reply | null {
  const {cfg, req} = journey;
  const now = cfg.clock.now();
  const tookMs = now - sentAt;
  const common = {id: req.id, server: backend.info.id, tookMs: round(tookMs)};
  if (end.kind === 'lost') {
    const {reason, isWritten, detail} = end;
    cfg.emit('attempt-lost', {
      ...{...common, reason, isWritten, detail},
      ...(isWritten && {caller: req.caller, ...req.contents()}),
    });
    return takeLoss(journey, backend, end, sentAt);
  }
  const {answer} = end;
  const {fields, status} = answer;
  const load = readLoad(fields.get(cfg.names.load));
  journey.sent++;
  if (isRefusal(cfg.names, end)) {
    cfg.emit('attempt-refused', {...common, status});
    noteAnswer(backend, now, tookMs, ahead, status === 421, load);
    return takeRefusal(journey, backend, answer);
  }
  journey.runs++;
  const hasFailed = isFailure(cfg.names, answer);
  noteAnswer(backend, now, tookMs, ahead, hasFailed, load);
  if (!hasFailed) {
    return {kind: 'answer', answer, server: backend.info.id};
  }
  cfg.emit('attempt-failed', {...common, status});
  return takeFailure(journey, backend, answer);
}

/** Whether the server failed the request, or its answer can't be trusted. */
function isFailure(names: WireNames, answer: Answer): boolean {
  return answer.status >= 500 || isUnsigned(names, answer);
}

function isUnsigned(names: WireNames, {status, fields}: Answer): boolean {
  return status < 300 && !fields.has(names.signature);
}

function takeLoss(
  journey: Journey,
  backend: Backend,
  end: AttemptEnd & {kind: 'lost'},
  sentAt: number,
): Reply | null {
  const {cfg, req} = journey;
  const now = cfg.clock.now();
  if (end.reason === 'cancelled') return giveUp(journey);
  noteLoss(backend, now, now - sentAt);
  if (!end.isWritten) {
    suspect(backend, now);
    journey.excluded.add(backend.info.id);
    return null;
  }
  journey.sent++;
  journey.runs++;
  if (end.reason === 'timeout') backend.connections.dropUnproved(sentAt);
  else if (end.reason === 'connection-lost') suspect(backend, now);
  const code = end.reason === 'timeout' ? 'deadline' : 'connection-lost';
  journey.unproved = failure('may-have-run', code, end.detail);
  if (req.route.kind === 'once') return fail(journey.unproved);
  journey.excluded.add(backend.info.id);
  return null;
}

function takeRefusal(
  journey: Journey,
  backend: Backend,
  answer: Answer,
): Reply | null {
  const {cfg, req, excluded} = journey;
  const {id} = backend.info;
  const other = answer.fields.get(cfg.names.serverId);
  if (answer.status === 421 && isOtherServer(id, other)) {
    backend.isGone = true;
    cfg.owners.noteReplaced(id);
  } else if (answer.status === 421 && req.key !== null) {
    cfg.owners.noteNotHeld(req.service, req.key, id);
  }
  if (req.key === null) excluded.add(id);
  if (answer.status !== 421) {
    journey.cause = 'refused';
    if (req.key !== null) journey.retryAfterMs = TURNED_AWAY_MS;
  }
  return null;
}

function takeFailure(
  journey: Journey,
  backend: Backend,
  answer: Answer,
): Reply | null {
  const {cfg, req} = journey;
  if (isUnsigned(cfg.names, answer)) {
    journey.unproved = failure('ran', 'truncated', 'the answer is not whole');
    if (req.route.kind === 'once') return fail(journey.unproved);
  } else {
    journey.failed = {kind: 'answer', answer, server: backend.info.id};
    if (req.route.kind === 'once') return journey.failed;
  }
  journey.excluded.add(backend.info.id);
  return null;
}

function round(ms: number): number {
  return Math.round(ms * 10) / 10;
}
