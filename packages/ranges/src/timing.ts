/**
 * How long a server holds keys after a grant, in ms. Short, since the keys of
 * a server that vanished wait that long; long enough for another leader to be
 * found and to renew: at least 1 s for the group to notice, 0.3 s for the
 * next join, and a few exchanges with the store and the servers.
 */
export const HOLD_MS = 4_000;
/** Servers' clocks may run 2 % slow. */
export const CLOCK_DRIFT = 0.02;
/** For timers that fire late and messages under way, in ms. */
export const LAPSE_MARGIN_MS = 150;
/** Grants are renewed after this time, in ms: three chances in a hold. */
export const RENEW_MS = 1_100;
/** A grant without an answer by then counts as unproved, in ms. */
export const GRANT_WITHIN_MS = 700;
/**
 * A release is answered when running work has ended: the longest work of the
 * deployments known takes some 5 s. After that the hold has lapsed anyway.
 */
export const RELEASE_WITHIN_MS = 6_000;
/**
 * A leader that can't reach the store acts on for this time, in ms: longer
 * than the outages that deployments report (9 s), since nobody else can
 * become leader meanwhile. A successor waits as long before it gives keys of
 * a server it can't reach to another.
 */
export const AUTHORITY_MS = 12_000;

/** When a hold that was granted at `at` at the latest has surely ended. */
export function lapseOf(at: number): number {
  return at + HOLD_MS * (1 + CLOCK_DRIFT) + LAPSE_MARGIN_MS;
}
