/**
 * Duration of a lease after a grant, in ms. It is short because the keys of a
 * failed server stay unserved for that long. It is long enough for a new leader
 * to be elected and to renew the leases: at least 1 s until the group detects
 * the failure, 0.3 s until the next join, and a few round trips to the store
 * and the servers.
 */
const LEASE_MS = 3_600;
/** Servers' clocks may run up to 2 % slow. */
const MAX_CLOCK_DRIFT = 0.02;
/** Allowance for late timers and messages in transit, in ms. */
const EXPIRY_MARGIN_MS = 150;
/** Leases are renewed after this time, in ms: three attempts per lease. */
const RENEW_AFTER_MS = 1_100;
/** After this time without an answer, a grant's outcome is unknown, in ms. */
const GRANT_TIMEOUT_MS = 700;
/**
 * Timeout of a release call, in ms. A server answers once the running requests
 * have finished, which takes up to about 5 s in the known deployments. After
 * the timeout, the lease has expired anyway.
 */
export const RELEASE_TIMEOUT_MS = 6_000;
/**
 * How long a leader may continue to act without reaching the store, in ms. It
 * exceeds the store outages reported by deployments (9 s), because no other
 * router can become leader during an outage. A new leader waits as long before
 * it reassigns the keys of a server that it can't reach.
 */
export const AUTHORITY_MS = 12_000;

/** Durations of a service's leases, for one deployment. */
export interface LeaseTiming {
  /** The lease duration that a grant requests, in ms. */
  readonly leaseMs: number;
  /** Leases are renewed after this time, in ms. */
  readonly renewAfterMs: number;
  /** After this time without an answer, a grant's outcome is unknown, in ms. */
  readonly grantTimeoutMs: number;
  /** When a lease granted no later than `at` has certainly expired. */
  expiryOf(at: number): number;
}

/**
 * Creates the timing for servers that accept leases of up to `holdMaxMs`. For
 * shorter leases, renewals and timeouts are scaled down proportionally.
 *
 * @example
 * ```ts
 * const timing = createLeaseTiming(10_000);
 * const expiresAt = timing.expiryOf(clock.now());
 * ```
 */
export function createLeaseTiming(holdMaxMs: number): LeaseTiming {
  const leaseMs = Math.min(LEASE_MS, holdMaxMs);
  const scale = leaseMs / LEASE_MS;
  return {
    leaseMs,
    renewAfterMs: RENEW_AFTER_MS * scale,
    grantTimeoutMs: GRANT_TIMEOUT_MS * scale,
    expiryOf: at => at + leaseMs * (1 + MAX_CLOCK_DRIFT) + EXPIRY_MARGIN_MS,
  };
}
