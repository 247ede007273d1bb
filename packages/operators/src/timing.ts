/** Times that the interface and its clients rely on, in ms. */

/** Longer than any wait for the log, so that its outcome is told. */
export const ACTION_MS = 30_000;
/** How often a watch sends a line at least, so that silence is noticed. */
export const ALIVE_MS = 10_000;
