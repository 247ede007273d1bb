import {NO_CARRIERS} from './carriers.js';
import {refuseIfAllResting} from './early-refusal.js';
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
import {mayRetry, takeRetry} from './retry-decision.js';
import {sendAttempt} from './send-attempt.js';
import {noteServerSignals} from './server-signals.js';
import {slotOutcomeOf, handleResult} from './handle-result.js';
import type {SlotOutcome} from './slots.js';
import {readLoad} from './wire.js';
import type {AttemptResult} from './attempt.js';

/** Retry delay for callers unless a refusal determines another, in ms. */
const DEFAULT_RETRY_AFTER_MS = 150;
/** Outcomes that speak of the server only if it could be reached. */
const NO_ANSWER: ReadonlySet<SlotOutcome> = new Set(['lost', 'unreached']);

/**
 * Sends a request to a backend server, and retries on other servers where that
 * is safe and may succeed. Never throws.
 *
 * @example
 * ```ts
 * const reply = await forward(cfg, req);
 * if (reply.kind === 'failure') refuse(reply.failure);
 * ```
 */
export async function forward(
  commonCfg: ForwardConfig,
  req: ForwardRequest,
): Promise<Reply> {
  // Carriers may be outside of the route's home regions, which bodies must not
  // leave.
  const cfg =
    req.route.homeRegions === null
      ? commonCfg
      : {...commonCfg, carriers: NO_CARRIERS};
  const state: ForwardState = {
    cfg,
    req,
    startedAt: cfg.clock.now(),
    possibleRuns: 0,
    sentCount: 0,
    attemptCount: 0,
    hasFoundNoWay: false,
    hadTooLargeAnswer: false,
    excluded: new Set(),
    unknownOutcome: null,
    serverFailure: null,
    retryAfterMs: DEFAULT_RETRY_AFTER_MS,
    cause: req.key === null ? 'overloaded' : 'no-owner',
  };
  const standing = cfg.quarantine.standingOf(req);
  if (standing === 'quarantined') {
    refuseAsQuarantined(state, standing);
    return finalReply(state);
  }
  cfg.budget.deposit(req.service);
  for (;;) {
    const target = await findTarget(state);
    if (target === null) return finalReply(state);
    if (state.sentCount > 0 && !takeRetry(state)) {
      abandonTarget(target);
      return finalReply(state);
    }
    const reply = await tryTarget(state, target);
    if (reply !== null) return reply;
    if (!mayRetry(state)) return replyWithoutRetry(state);
  }
}

/** The reply to a request that isn't sent again. */
function replyWithoutRetry(state: ForwardState): Reply {
  // The refusal that ended it may be that of the last server that didn't rest.
  if (state.cause === 'refused') refuseIfAllResting(state);
  return finalReply(state);
}

async function tryTarget(
  state: ForwardState,
  target: Target,
): Promise<Reply | null> {
  const {cfg, req} = state;
  const {backend, connection, inFlightAtSend} = target;
  const behind = cfg.catchUp(req.sendSignal);
  if (behind !== null) await behind;
  const sentAt = cfg.clock.now();
  const withinMs = req.deadline - sentAt;
  if (withinMs < MIN_SEND_MS || req.sendSignal.aborted) {
    abandonTarget(target);
    return finalReply(state);
  }
  state.attemptCount++;
  backend.inFlight++;
  const spec = {
    ...{server: backend.info.id, requestId: req.id, withinMs},
    ...{method: req.method, path: req.path, headers: req.headers},
    ...{body: req.body, isRepeatable: req.route.kind !== 'once'},
  };
  const result = await sendAttempt(
    ...([cfg, backend, connection, spec, req] as const),
  );
  backend.inFlight--;
  const slotOutcome = slotOutcomeOf(cfg.names, backend.info.id, result);
  const {isTrial} = target;
  const completed = {server: backend.info.id, sentAt, result};
  noteServerSignals(cfg, completed);
  // Before the slot is released, the leader must know whether the request
  // crashed the server, or the same request would be sent to another one.
  await cfg.quarantine.noteAttempt({
    req,
    backend,
    result,
    isTrial,
    slotOutcome,
    sentAt,
  });
  const isCutOff =
    NO_ANSWER.has(slotOutcome) && cfg.paths.isCutOff(backend.info.id);
  const tookMs = cfg.clock.now() - sentAt;
  const slowdown = reportedSlowdown(cfg, result);
  target.releaseSlot(isCutOff ? 'cut-off' : slotOutcome, tookMs, slowdown);
  const reply = handleResult(state, backend, result, sentAt, inFlightAtSend);
  cfg.backends.notifyCapacity(req.service);
  return reply;
}

/** Slowdown in the server's answer; undefined if it is of no use or absent. */
function reportedSlowdown(
  {times, names}: ForwardConfig,
  result: AttemptResult,
): number | undefined {
  if (times === undefined || result.kind === 'lost') return undefined;
  return readLoad(result.answer.fields.get(names.load))?.slowdown;
}

/** Gives back a target that nothing was sent to. */
function abandonTarget({backend, connection, releaseSlot}: Target): void {
  if (connection !== null) backend.connections.release(connection, true);
  releaseSlot('cancelled', 0);
}
