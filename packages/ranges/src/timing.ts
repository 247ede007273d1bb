/**
 * How long a server holds keys after a grant, in ms. Short, since the keys of
 * a server that vanished wait that long; long enough for another leader to be
 * found and to renew: at least 1 s for the group to notice, 0.3 s for the
 * next join, and a few exchanges with the store and the servers.
 */
const LEASE_MS = 3_600;
/** Servers' clocks may run 2 % slow. */
const MAX_CLOCK_DRIFT = 0.02;
/** For timers that fire late and messages under way, in ms. */
const EXPIRY_MARGIN_MS = 150;
/** Grants are renewed after this time, in ms: three chances in a hold. */
const RENEW_AFTER_MS = 1_100;
/** A grant without an answer by then counts as unproved, in ms. */
const GRANT_TIMEOUT_MS = 700;
/**
 * A release is answered when running work has ended: the longest work of the
 * deployments known takes some 5 s. After that the hold has lapsed anyway.
 */
export const RELEASE_TIMEOUT_MS = 6_000;
/**
 * A leader that can't reach the store acts on for this time, in ms: longer
 * than the outages that deployments report (9 s), since nobody else can
 * become leader meanwhile. A successor waits as long before it gives keys of
 * a server it can't reach to another.
 */
export const AUTHORITY_MS = 12_000;

/** Times of a service's holds, for one deployment. */
export interface LeaseTiming {
  /** What a grant asks for, in ms. */
  readonly leaseMs: number;
  /** Grants are renewed after this time, in ms. */
  readonly renewAfterMs: number;
  /** A grant without an answer by then counts as unproved, in ms. */
  readonly grantTimeoutMs: number;
  /** When a hold granted at `at` at the latest has surely ended. */
  expiryOf(at: number): number;
}

/**
 * The times where servers grant holds of up to `holdMaxMs`: shorter holds are
 * renewed as many times.
 *
 * @example
 * ```ts
 * const timing = createTiming(10_000);
 * const lapseAt = timing.lapseOf(clock.now());
 * ```
 */
export function createLeaseTiming(holdMaxMs: number): LeaseTiming {
  const holdMs = Math.min(LEASE_MS, holdMaxMs);
  const share = holdMs / LEASE_MS;
  return {
    leaseMs: holdMs,
    renewAfterMs: RENEW_AFTER_MS * share,
    grantTimeoutMs: GRANT_TIMEOUT_MS * share,
    expiryOf: at => at + holdMs * (1 + MAX_CLOCK_DRIFT) + EXPIRY_MARGIN_MS,
  };
}
