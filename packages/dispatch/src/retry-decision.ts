import {MIN_SEND_MS, type ForwardState} from './forward-state.js';

/** Maximum attempts per request that reached a server. */
const MAX_ATTEMPTS = 6;
/**
 * Maximum attempts that reached none, while they are quick: they take a few ms
 * each where connections are refused, so that a request gets past many entries
 * that name nobody.
 */
const MAX_QUICK_UNREACHED = 40;
/**
 * Maximum attempts that reached none, once they have taken long: where
 * connections time out, further ones would only delay the refusal.
 */
const MAX_SLOW_UNREACHED = 6;
/** Share of the target latency for which attempts that reach none are quick. */
const QUICK_SHARE = 0.5;

/** Why a request isn't sent to a server again. */
export type RetryObstacle =
  /** It was attempted too often. */
  | 'attempts'
  /** As many servers as its route allows may have run it. */
  | 'runs'
  /** An answer would come too late. */
  | 'deadline'
  /** This router has used up its part of the retry budget. */
  | 'budget';

/** Outcome of a decision on a retry. */
export type RetryOutcome = 'sent' | RetryObstacle;

/**
 * Whether to look for a server to send the request to again; logs why not. A
 * request that hasn't reached a server yet needs no retry budget.
 *
 * @example
 * ```ts
 * if (!mayRetry(state)) return finalReply(state);
 * ```
 */
export function mayRetry(state: ForwardState): boolean {
  if (state.req.sendSignal.aborted) return false;
  const obstacle = findObstacle(state);
  if (obstacle !== null && state.sentCount > 0) recordRetry(state, obstacle);
  return obstacle === null;
}

/**
 * Takes a retry from the budget just before the request is sent again, and logs
 * the decision. A request that finds no server takes none.
 *
 * @example
 * ```ts
 * if (state.sentCount > 0 && !takeRetry(state)) return finalReply(state);
 * ```
 */
export function takeRetry(state: ForwardState): boolean {
  const {cfg, req} = state;
  const isTaken = cfg.budget.tryWithdraw(req.service);
  recordRetry(state, isTaken ? 'sent' : 'budget');
  return isTaken;
}

function findObstacle(state: ForwardState): RetryObstacle | null {
  const {cfg, req, possibleRuns, sentCount} = state;
  if (sentCount >= MAX_ATTEMPTS || hasTriedEnough(state)) return 'attempts';
  if (possibleRuns >= req.route.maxAttempts) return 'runs';
  if (cfg.clock.now() > req.deadline - MIN_SEND_MS) return 'deadline';
  if (sentCount === 0) return null;
  return cfg.budget.hasLeft(req.service) ? null : 'budget';
}

/** Whether too many attempts have reached no server. */
function hasTriedEnough(state: ForwardState): boolean {
  const {cfg, req, attemptCount, sentCount} = state;
  const unreached = attemptCount - sentCount;
  const quickUntil = state.startedAt + req.route.targetLatencyMs * QUICK_SHARE;
  const isQuick = cfg.clock.now() < quickUntil;
  return unreached >= (isQuick ? MAX_QUICK_UNREACHED : MAX_SLOW_UNREACHED);
}

function recordRetry(state: ForwardState, outcome: RetryOutcome): void {
  const {cfg, req, sentCount} = state;
  const {id, service} = req;
  cfg.recordRetry(service, outcome);
  const basis = {
    ...{id, service, arrivals: sentCount},
    ...cfg.budget.basis(service),
  };
  if (outcome === 'sent') return cfg.emit('retry', basis);
  cfg.emit('retry-withheld', {...basis, why: outcome});
}
