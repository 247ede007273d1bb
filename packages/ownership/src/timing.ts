import type {Timing} from '@banyandrum/config/rules.js';

/** Times of views and authority, in ms, derived from the published ones. */
export interface AuthorityTiming {
  /** How long one confirmation lets a leader act. */
  readonly authorityMs: number;
  /** Silence after which a standby doubts its leader. */
  readonly suspicionMs: number;
  /** Silence after which a leader doubts its standby. */
  readonly standbySilenceMs: number;
  /**
   * How old the newest reading of the log may be for a claim to be worth
   * trying. Longer than T: a slow log is no reason to leave cells alone.
   */
  readonly logPatienceMs: number;
  /** Between two questions for consent. */
  readonly consentMs: number;
  /** Longest wait for the answer to a control question or a probe. */
  readonly answerMs: number;
  /** Between two looks of a watching task. */
  readonly tickMs: number;
  /** Between two questions to the leader of a cell without a role in it. */
  readonly watchMs: number;
  /** How much longer each lower rank waits before it claims. */
  readonly rankMs: number;
  /** Between two planned transfers that even out leadership. */
  readonly rebalanceMs: number;
  readonly driftPpm: number;
}

const FIXED_MARGIN_MS = 20;
const PER_MILLION = 1_000_000;
const REBALANCE_MS = 10_000;
const LOG_PATIENCE = 5;

/**
 * Derives the times of this package from the published ones.
 *
 * They must not change while the process runs, and `authorityMs` must be
 * alike in all routers: a successor waits its own `authorityMs` for the old
 * leader to stop, which the old leader counts by its own.
 *
 * @example
 * ```ts
 * const timing = deriveTiming(rules.timing);
 * ```
 */
export function deriveTiming(timing: Timing): AuthorityTiming {
  const {authorityMs, suspicionMs, driftPpm} = timing;
  return {
    authorityMs,
    suspicionMs,
    // Shorter than the standby's own suspicion, so that where only the way
    // between the two is cut, the leader keeps its cells.
    standbySilenceMs: (suspicionMs * 2) / 3,
    logPatienceMs: LOG_PATIENCE * authorityMs,
    consentMs: suspicionMs / 3,
    answerMs: suspicionMs / 3,
    tickMs: suspicionMs / 10,
    watchMs: suspicionMs,
    rankMs: authorityMs,
    rebalanceMs: REBALANCE_MS,
    driftPpm,
  };
}

/**
 * The shortest wait on this clock after which `ms` have passed on any other.
 *
 * @example
 * ```ts
 * withMargin({driftPpm: 10_000}, 1000); // 1030
 * ```
 */
export function withMargin(
  timing: {readonly driftPpm: number},
  ms: number,
): number {
  return ms + (ms * timing.driftPpm) / PER_MILLION + FIXED_MARGIN_MS;
}
