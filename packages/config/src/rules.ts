/** The rules that operators publish beside the inventory. */
export interface Rules {
  /** Levels of precedence, the first one goes first. */
  readonly precedence: readonly PrecedenceLevel[];
  readonly operations: readonly Operation[];
  readonly weights: PlacementWeights;
  readonly limits: Limits;
  readonly timing: Timing;
}

export interface PrecedenceLevel {
  readonly name: string;
  /** How long a request waits before it counts as one level higher, in ms. */
  readonly ageAfterMs: number;
}

/** Matches requests; the first match in the file applies. */
export interface Operation {
  readonly service: string;
  /** Methods, or empty for all. */
  readonly methods: readonly string[];
  /** Prefix of the path behind the key; empty for all. */
  readonly pathPrefix: string;
  /** Name of a level of precedence. */
  readonly precedence: string;
  /** Not to be repeated. */
  readonly once: boolean;
  /** Deadline where the caller names none, in ms. */
  readonly deadlineMs: number;
}

/** What a plan of placement costs, in the users' own weights. */
export interface PlacementWeights {
  readonly imbalance: number;
  readonly churn: number;
  readonly unavailable: number;
}

export interface Limits {
  readonly maxBodyBytes: number;
  /** Requests waiting at the leader, for each server. */
  readonly maxQueued: number;
  readonly maxQueuedBytes: number;
  /** Longest deadline a caller may ask for, in ms. */
  readonly maxDeadlineMs: number;
  /** Retries for each 100 requests. */
  readonly retryPercent: number;
}

/** Times of the ownership protocol, in ms. */
export interface Timing {
  readonly renewMs: number;
  readonly leaseMs: number;
  /** How long a leader may act on one confirmation. */
  readonly authorityMs: number;
  readonly suspicionMs: number;
  /** Greatest drift between two clocks, in parts per million. */
  readonly driftPpm: number;
}
