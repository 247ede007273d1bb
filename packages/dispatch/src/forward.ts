import {reportsLeaving} from './completed-attempt.js';
import {startAttempt} from './attempt.js';
import type {Backend} from './backend.js';
import {findTarget, type Target} from './find-target.js';
import {
  finalReply,
  MIN_SEND_MS,
  refuseAsQuarantined,
  type ForwardConfig,
  type ForwardRequest,
  type ForwardState,
  type Reply,
} from './forward-state.js';
import {noteLimit} from './server-limits.js';
import {noteRetryAfter} from './server-rests.js';
import {serverName} from './server-run.js';
import {slotOutcomeOf, handleResult} from './handle-result.js';
import type {WireNames} from './wire.js';

/** Attempts that a request may take, those that reached nobody included. */
const MAX_ATTEMPTS = 6;
/** When a caller should come back after a refusal, in ms. */
const DEFAULT_RETRY_AFTER_MS = 150;

/**
 * Sends a request to a backend server, and to another where that is safe and
 * promises better. Never throws.
 *
 * @example
 * ```ts
 * const reply = await forward(cfg, req);
 * if (reply.kind === 'failure') refuse(reply.failure);
 * ```
 */
export async function forward(
  cfg: ForwardConfig,
  req: ForwardRequest,
): Promise<Reply> {
  const journey: ForwardState = {
    cfg,
    req,
    possibleRuns: 0,
    sentCount: 0,
    attemptCount: 0,
    excluded: new Set(),
    unknownOutcome: null,
    serverFailure: null,
    retryAfterMs: DEFAULT_RETRY_AFTER_MS,
    cause: req.key === null ? 'overloaded' : 'no-owner',
  };
  const standing = cfg.quarantine.standingOf(req);
  if (standing === 'quarantined') {
    refuseAsQuarantined(journey, standing);
    return finalReply(journey);
  }
  cfg.budget.deposit(req.service);
  for (;;) {
    const target = await findTarget(journey);
    if (target === null) return finalReply(journey);
    const reply = await tryTarget(journey, target);
    if (reply !== null) return reply;
    if (!mayRetry(journey)) return finalReply(journey);
  }
}

async function tryTarget(
  journey: ForwardState,
  target: Target,
): Promise<Reply | null> {
  const {cfg, req} = journey;
  const {backend, connection, inFlightAtSend: ahead} = target;
  const sentAt = cfg.clock.now();
  const withinMs = req.deadline - sentAt;
  if (withinMs < MIN_SEND_MS) {
    backend.connections.release(connection, true);
    target.releaseSlot('cancelled', 0);
    return finalReply(journey);
  }
  journey.attemptCount++;
  backend.inFlight++;
  const attempt = startAttempt(connection, cfg.names, cfg.clock, {
    method: req.method,
    path: req.path,
    headers: withAttemptHeaders(cfg.names, req, backend, withinMs),
    body: req.body,
    requestId: req.id,
    withinMs,
  });
  const cancel = (): void => attempt.abort('cancelled');
  req.signal.addEventListener('abort', cancel);
  const result = await attempt.result;
  req.signal.removeEventListener('abort', cancel);
  backend.inFlight--;
  backend.connections.release(connection, result.kind === 'answered');
  const slotOutcome = slotOutcomeOf(cfg.names, result);
  const {isTrial} = target;
  const completed = {server: backend.info.id, sentAt, result: result};
  noteLimit(cfg.limits, cfg.names, completed);
  noteRetryAfter(cfg.rests, cfg.names, completed);
  if (reportsLeaving(cfg.names, completed)) cfg.noteLeaving(completed.server);
  // Before its place is free again: whoever hands out places must know what
  // this one did to the server before the same request is sent to the next.
  await cfg.quarantine.noteAttempt({
    req,
    backend,
    result: result,
    isTrial,
    slotOutcome: slotOutcome,
    sentAt,
  });
  target.releaseSlot(slotOutcome, cfg.clock.now() - sentAt);
  const reply = handleResult(journey, backend, result, sentAt, ahead);
  cfg.backends.notifyCapacity(req.service);
  return reply;
}

function withAttemptHeaders(
  names: WireNames,
  req: ForwardRequest,
  backend: Backend,
  withinMs: number,
): readonly string[] {
  return [
    ...req.headers,
    names.deadlineMs,
    String(Math.floor(withinMs)),
    names.expectedServer,
    serverName(backend.info.id),
  ];
}

/** Whether the request may go to a server once more. */
function mayRetry(journey: ForwardState): boolean {
  const {
    cfg,
    req,
    possibleRuns: runs,
    attemptCount: tries,
    sentCount: sent,
  } = journey;
  if (req.signal.aborted) return false;
  if (tries >= MAX_ATTEMPTS || runs >= req.route.maxAttempts) return false;
  if (cfg.clock.now() > req.deadline - MIN_SEND_MS) return false;
  if (sent === 0) return true;
  return cfg.budget.tryWithdraw(req.service);
}
