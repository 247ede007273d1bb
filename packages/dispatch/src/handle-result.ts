import {STOPPING} from '@banyandrum/base/cancel.js';
import {failure, type FailureCode} from '@banyandrum/base/failure.js';
import {kindOf} from '@banyandrum/service-times/kind.js';
import type {Answer, AttemptResult, LossReason} from './attempt.js';
import {
  hasEverAnswered,
  noteAnswer,
  noteLoss,
  withoutQueueing,
  type Backend,
} from './backend.js';
import {ejectServer} from './eject-server.js';
import {
  failureReply,
  finalReply,
  type ForwardState,
  type Reply,
} from './forward-state.js';
import type {SlotOutcome} from './slots.js';
import {isOtherServer} from './server-instance.js';
import {readLoad, type WireNames} from './wire.js';

/**
 * Retry delay if the key's owner refused the request although the leader had
 * allocated a slot, in ms. There is no queue to wait for, so the caller may
 * retry while the answer can still be in time.
 */
const OWNER_REFUSED_RETRY_MS = 30;

/** Losses on the way to another router, which say nothing of the server. */
const SAYS_NOTHING: ReadonlySet<LossReason> = new Set([
  'no-way',
  'carrier-lost',
]);

/** Losses that speak for a server that fails, so that others are preferred. */
const EJECTS: ReadonlySet<LossReason> = new Set([
  'connection-lost',
  'too-large',
  'invalid-status',
]);
const CODES: Readonly<Partial<Record<LossReason, FailureCode>>> = {
  timeout: 'deadline',
  'too-large': 'truncated',
};

const BROKEN_OFF = 'this router stopped before the server had answered';

/** Whether the server answered that it didn't run the request. */
function isRefusal(names: WireNames, result: AttemptResult): boolean {
  return result.kind === 'answered' && result.answer.fields.has(names.notRun);
}

/**
 * Converts the result of an attempt at the server with this id for the
 * allocator of its slot.
 */
export function slotOutcomeOf(
  names: WireNames,
  server: string,
  result: AttemptResult,
): SlotOutcome {
  if (result.kind === 'lost') {
    if (result.reason === 'cancelled') return 'cancelled';
    if (SAYS_NOTHING.has(result.reason)) return 'cut-off';
    return result.isWritten ? 'lost' : 'unreached';
  }
  const {answer} = result;
  if (isRefusal(names, result)) {
    const other = answer.fields.get(names.serverId);
    const isMisdirected =
      answer.status === 421 && !isOtherServer(server, other);
    return isMisdirected ? 'not-held' : 'refused';
  }
  return isFailure(names, answer) ? 'failed' : 'answered';
}

/**
 * Updates the request and server state from an attempt's result. Returns the
 * reply to the caller; null if another attempt may succeed.
 */
export function handleResult(
  state: ForwardState,
  backend: Backend,
  result: AttemptResult,
  sentAt: number,
  inFlightAtSend: number,
): Reply | null {
  const {cfg, req} = state;
  const now = cfg.clock.now();
  const tookMs = now - sentAt;
  const common = {
    id: req.id,
    server: backend.info.id,
    tookMs: roundToTenth(tookMs),
  };
  if (result.kind === 'lost') {
    const {reason, isWritten, detail} = result;
    cfg.emit('attempt-lost', {
      ...{...common, reason, isWritten, detail},
      ...(isWritten && {caller: req.caller, ...req.contents()}),
    });
    return handleLoss(state, backend, result, sentAt);
  }
  const {answer} = result;
  const {fields, status} = answer;
  const load = readLoad(fields.get(cfg.names.load));
  state.sentCount++;
  if (isRefusal(cfg.names, result)) {
    cfg.emit('attempt-refused', {...common, status});
    noteAnswer(backend, now, tookMs, inFlightAtSend, status === 421, load);
    return handleRefusal(state, backend, answer);
  }
  state.possibleRuns++;
  const hasFailed = isFailure(cfg.names, answer);
  if (!hasFailed) cfg.onAnswer?.(backend, tookMs);
  noteAnswer(backend, now, tookMs, inFlightAtSend, hasFailed, load);
  if (!hasFailed) {
    cfg.times?.record({
      ...{service: req.service, kind: kindOf(req.route.name)},
      server: backend.info.id,
      tookMs: withoutQueueing(backend, tookMs, inFlightAtSend),
      slowdown: load?.slowdown ?? null,
    });
    return {kind: 'answer', answer, server: backend.info.id};
  }
  cfg.emit('attempt-failed', {...common, status});
  return handleFailure(state, backend, answer);
}

/** Whether the answer is a server error or lacks the server's signature. */
function isFailure(names: WireNames, answer: Answer): boolean {
  return answer.status >= 500 || isUnsigned(names, answer);
}

function isUnsigned(names: WireNames, {status, fields}: Answer): boolean {
  return status < 300 && !fields.has(names.signature);
}

function handleLoss(
  state: ForwardState,
  backend: Backend,
  result: AttemptResult & {kind: 'lost'},
  sentAt: number,
): Reply | null {
  const {cfg, req} = state;
  const now = cfg.clock.now();
  if (result.reason === 'cancelled') {
    if (req.signal.reason === STOPPING && result.isWritten)
      state.unknownOutcome = failure('may-have-run', 'deadline', BROKEN_OFF);
    return finalReply(state);
  }
  // A router that is partitioned from the server can't judge it.
  const isCutOff =
    SAYS_NOTHING.has(result.reason) || cfg.paths.isCutOff(backend.info.id);
  if (!isCutOff) noteLoss(backend, now, now - sentAt);
  const outcome = result.isWritten ? 'lost' : 'unreached';
  const evidence = {id: req.id, outcome, by: 'attempt'} as const;
  if (!result.isWritten) {
    if (!isCutOff || !hasEverAnswered(backend))
      ejectServer(cfg.emit, backend, now, evidence);
    state.hasFoundNoWay = true;
    state.excluded.add(backend.info.id);
    return null;
  }
  state.sentCount++;
  state.possibleRuns++;
  if (result.reason === 'timeout')
    backend.connections.closeIdleUnansweredSince(sentAt);
  else if (EJECTS.has(result.reason) && !isCutOff)
    ejectServer(cfg.emit, backend, now, evidence);
  const code = CODES[result.reason] ?? 'connection-lost';
  state.unknownOutcome = failure('may-have-run', code, result.detail);
  if (req.route.kind === 'once') return failureReply(state.unknownOutcome);
  if (result.reason === 'too-large' && !mayRepeatAfterTooLarge(state))
    return finalReply(state);
  state.excluded.add(backend.info.id);
  return null;
}

/**
 * Whether to try another server after an answer without end: once, since each
 * such answer takes as much memory as one may. A key has no other server.
 */
function mayRepeatAfterTooLarge(state: ForwardState): boolean {
  if (state.req.key !== null || state.hadTooLargeAnswer) return false;
  state.hadTooLargeAnswer = true;
  return true;
}

function handleRefusal(
  state: ForwardState,
  backend: Backend,
  answer: Answer,
): Reply | null {
  const {cfg, req, excluded} = state;
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
    state.cause = 'refused';
    if (req.key !== null) state.retryAfterMs = OWNER_REFUSED_RETRY_MS;
  }
  return null;
}

function handleFailure(
  state: ForwardState,
  backend: Backend,
  answer: Answer,
): Reply | null {
  const {cfg, req} = state;
  if (isUnsigned(cfg.names, answer)) {
    state.unknownOutcome = failure(
      'ran',
      'truncated',
      'the answer has no signature, so it may not be whole',
    );
    if (req.route.kind === 'once') return failureReply(state.unknownOutcome);
  } else {
    state.serverFailure = {kind: 'answer', answer, server: backend.info.id};
    if (req.route.kind === 'once') return state.serverFailure;
  }
  state.excluded.add(backend.info.id);
  return null;
}

function roundToTenth(ms: number): number {
  return Math.round(ms * 10) / 10;
}
