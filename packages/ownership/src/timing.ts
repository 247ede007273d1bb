import type {Timing} from '@banyandrum/config/rules.js';

/** Timing of views and authority, derived from the published rules. */
export interface AuthorityTiming {
  /** How long a leader may act after one confirmation. */
  readonly authorityMs: number;
  /** Silence after which a standby suspects its leader. */
  readonly suspicionMs: number;
  /** Silence after which a leader suspects its standby. */
  readonly standbyTimeoutMs: number;
  /**
   * Maximum age of the newest reading of the log at which a claim is still
   * tried. Longer than `authorityMs`: a slow log is no reason to leave cells
   * without a leader.
   */
  readonly maxLogAgeMs: number;
  /** Interval between requests for consent. */
  readonly consentIntervalMs: number;
  /** Timeout of a control request or a probe. */
  readonly responseTimeoutMs: number;
  /** Poll interval of watching tasks. */
  readonly pollIntervalMs: number;
  /** Interval of checks on leaders by routers without a role in the cell. */
  readonly watchIntervalMs: number;
  /** Additional delay before a claim for each lower rank. */
  readonly rankDelayMs: number;
  /** Interval between planned transfers that balance leadership. */
  readonly rebalanceIntervalMs: number;
  readonly driftPpm: number;
}

const FIXED_MARGIN_MS = 20;
const PER_MILLION = 1_000_000;
const REBALANCE_INTERVAL_MS = 10_000;
const MAX_LOG_AGE_FACTOR = 5;

/**
 * Derives this package's timing from the published rules.
 *
 * It must not change while the process runs, and `authorityMs` must be equal
 * in all routers: a successor waits for its own `authorityMs` until the old
 * leader has stopped, which in turn measures by its own value.
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
    // Shorter than the standby's timeout, so that the leader keeps its cells
    // if only the connection between the two fails.
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
 * Returns the shortest wait on this clock after which `ms` have passed on every
 * other clock.
 *
 * @example
 * ```ts
 * withClockMargin({driftPpm: 10_000}, 1000); // 1030
 * ```
 */
export function withClockMargin(
  timing: {readonly driftPpm: number},
  ms: number,
): number {
  return ms + (ms * timing.driftPpm) / PER_MILLION + FIXED_MARGIN_MS;
}
