import {MIN_SEND_MS, type ForwardState} from './forward-state.js';

/** Maximum attempts per request, including those that reached no server. */
const MAX_ATTEMPTS = 6;

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
  if (state.req.signal.aborted) return false;
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
  const {cfg, req, possibleRuns, attemptCount, sentCount} = state;
  if (attemptCount >= MAX_ATTEMPTS) return 'attempts';
  if (possibleRuns >= req.route.maxAttempts) return 'runs';
  if (cfg.clock.now() > req.deadline - MIN_SEND_MS) return 'deadline';
  if (sentCount === 0) return null;
  return cfg.budget.hasLeft(req.service) ? null : 'budget';
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
