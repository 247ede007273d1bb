import {reportsLeaving} from './attempt-outcome.js';
import {startAttempt} from './attempt.js';
import type {Backend} from './backend.js';
import {findTarget, type Target} from './find-target.js';
import {
  giveUp,
  MIN_SEND_MS,
  turnAway,
  type ForwardConfig,
  type ForwardRequest,
  type Journey,
  type Reply,
} from './journey.js';
import {noteLimit} from './server-limits.js';
import {noteRetryAfter} from './server-rests.js';
import {nameOfRun} from './server-run.js';
import {placeEndOf, takeEnd} from './take-end.js';
import type {WireNames} from './wire.js';

/** Attempts that a request may take, those that reached nobody included. */
const MAX_TRIES = 6;
/** When a caller should come back after a refusal, in ms. */
const RETRY_AFTER_MS = 150;

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
  const journey: Journey = {
    cfg,
    req,
    runs: 0,
    sent: 0,
    tries: 0,
    excluded: new Set(),
    unproved: null,
    failed: null,
    retryAfterMs: RETRY_AFTER_MS,
    cause: req.key === null ? 'overloaded' : 'no-owner',
  };
  const standing = cfg.quarantine.standingOf(req);
  if (standing === 'quarantined') {
    turnAway(journey, standing);
    return giveUp(journey);
  }
  cfg.budget.earn(req.service);
  for (;;) {
    const target = await findTarget(journey);
    if (target === null) return giveUp(journey);
    const reply = await tryTarget(journey, target);
    if (reply !== null) return reply;
    if (!mayTryAgain(journey)) return giveUp(journey);
  }
}

async function tryTarget(
  journey: Journey,
  target: Target,
): Promise<Reply | null> {
  const {cfg, req} = journey;
  const {backend, connection, ahead} = target;
  const sentAt = cfg.clock.now();
  const withinMs = req.deadline - sentAt;
  if (withinMs < MIN_SEND_MS) {
    backend.connections.release(connection, true);
    target.end('cancelled', 0);
    return giveUp(journey);
  }
  journey.tries++;
  backend.inFlight++;
  const attempt = startAttempt(connection, cfg.names, cfg.clock, {
    method: req.method,
    path: req.path,
    headers: withAttemptHeaders(cfg.names, req, backend, withinMs),
    body: req.body,
    requestId: req.id,
    withinMs,
  });
  const cancel = (): void => attempt.drop('cancelled');
  req.signal.addEventListener('abort', cancel);
  const end = await attempt.end;
  req.signal.removeEventListener('abort', cancel);
  backend.inFlight--;
  backend.connections.release(connection, end.kind === 'answered');
  const how = placeEndOf(cfg.names, end);
  const {isTrial} = target;
  const outcome = {server: backend.info.id, sentAt, end};
  noteLimit(cfg.limits, cfg.names, outcome);
  noteRetryAfter(cfg.rests, cfg.names, outcome);
  if (reportsLeaving(cfg.names, outcome)) cfg.noteLeaving(outcome.server);
  // Before its place is free again: whoever hands out places must know what
  // this one did to the server before the same request is sent to the next.
  await cfg.quarantine.note({req, backend, end, isTrial, how, sentAt});
  target.end(how, cfg.clock.now() - sentAt);
  const reply = takeEnd(journey, backend, end, sentAt, ahead);
  cfg.backends.notifyRoom(req.service);
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
    nameOfRun(backend.info.id),
  ];
}

/** Whether the request may go to a server once more. */
function mayTryAgain(journey: Journey): boolean {
  const {cfg, req, runs, tries, sent} = journey;
  if (req.signal.aborted) return false;
  if (tries >= MAX_TRIES || runs >= req.route.maxAttempts) return false;
  if (cfg.clock.now() > req.deadline - MIN_SEND_MS) return false;
  if (sent === 0) return true;
  return cfg.budget.spend(req.service);
}
