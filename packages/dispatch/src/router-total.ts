/** Number of routers that share the servers, as far as this router knows. */
export interface RouterTotal {
  /** Null until a leader has told it. */
  current(): number | null;
  /** Time since a leader last told it, in ms; infinite if none ever did. */
  ageMs(): number;
}

/**
 * Routers among which a limit is divided while their number is unknown. It
 * exceeds the size of the known deployments, because a router that assumes too
 * few uses the share of others.
 */
export const ASSUMED_ROUTERS = 200;
