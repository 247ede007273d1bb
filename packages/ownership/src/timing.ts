import type {Timing} from '@banyandrum/config/rules.js';

/** Times of views and authority, in ms, derived from the published ones. */
export interface AuthorityTiming {
  /** How long one confirmation lets a leader act. */
  readonly authorityMs: number;
  /** Silence after which a standby doubts its leader. */
  readonly suspicionMs: number;
  /** Silence after which a leader doubts its standby. */
  readonly standbyTimeoutMs: number;
  /**
   * How old the newest reading of the log may be for a claim to be worth
   * trying. Longer than T: a slow log is no reason to leave cells alone.
   */
  readonly maxLogAgeMs: number;
  /** Between two questions for consent. */
  readonly consentIntervalMs: number;
  /** Longest wait for the answer to a control question or a probe. */
  readonly responseTimeoutMs: number;
  /** Between two looks of a watching task. */
  readonly pollIntervalMs: number;
  /** Between two questions to the leader of a cell without a role in it. */
  readonly watchIntervalMs: number;
  /** How much longer each lower rank waits before it claims. */
  readonly rankDelayMs: number;
  /** Between two planned transfers that even out leadership. */
  readonly rebalanceIntervalMs: number;
  readonly driftPpm: number;
}

const FIXED_MARGIN_MS = 20;
const PER_MILLION = 1_000_000;
const REBALANCE_INTERVAL_MS = 10_000;
const MAX_LOG_AGE_FACTOR = 5;

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
    standbyTimeoutMs: (suspicionMs * 2) / 3,
    maxLogAgeMs: MAX_LOG_AGE_FACTOR * authorityMs,
    consentIntervalMs: suspicionMs / 3,
    responseTimeoutMs: suspicionMs / 3,
    pollIntervalMs: suspicionMs / 10,
    watchIntervalMs: suspicionMs,
    rankDelayMs: authorityMs,
    rebalanceIntervalMs: REBALANCE_INTERVAL_MS,
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
export function withClockMargin(
  timing: {readonly driftPpm: number},
  ms: number,
): number {
  return ms + (ms * timing.driftPpm) / PER_MILLION + FIXED_MARGIN_MS;
}
