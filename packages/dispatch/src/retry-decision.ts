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
  /** This router has used up its share of the retry budget. */
  | 'budget';

/** Outcome of a decision on a retry. */
export type RetryOutcome = 'sent' | RetryObstacle;

/**
 * Decides whether to send the request to a server again, and logs the decision.
 * A request that hasn't reached a server yet needs no retry budget.
 *
 * @example
 * ```ts
 * if (!decideRetry(state)) return finalReply(state);
 * ```
 */
export function decideRetry(state: ForwardState): boolean {
  const {cfg, req, sentCount} = state;
  if (req.signal.aborted) return false;
  const obstacle = findObstacle(state);
  if (sentCount === 0) return obstacle === null;
  cfg.recordRetry(req.service, obstacle ?? 'sent');
  const basis = {
    ...{id: req.id, service: req.service, arrivals: sentCount},
    ...cfg.budget.basis(req.service),
  };
  if (obstacle === null) cfg.emit('retry', basis);
  else cfg.emit('retry-withheld', {...basis, why: obstacle});
  return obstacle === null;
}

function findObstacle(state: ForwardState): RetryObstacle | null {
  const {cfg, req, possibleRuns, attemptCount, sentCount} = state;
  if (attemptCount >= MAX_ATTEMPTS) return 'attempts';
  if (possibleRuns >= req.route.maxAttempts) return 'runs';
  if (cfg.clock.now() > req.deadline - MIN_SEND_MS) return 'deadline';
  if (sentCount === 0) return null;
  return cfg.budget.tryWithdraw(req.service) ? null : 'budget';
}
