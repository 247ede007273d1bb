import type {
  Limits,
  PlacementWeights,
  PrecedenceLevel,
  Rules,
  Timing,
} from './rules.js';

const DAY_MS = 86_400_000;
const MINUTE_MS = 60_000;

/** Deadline where neither the caller nor an operation names one. */
export const DEFAULT_DEADLINE_MS = 10_000;

/** Methods that aren't to be repeated unless the rules say otherwise. */
export const ONCE_METHODS: readonly string[] = ['POST', 'PATCH'];

export const DEFAULT_PRECEDENCE: readonly PrecedenceLevel[] = [
  {name: 'normal', ageAfterMs: DAY_MS},
];

export const DEFAULT_WEIGHTS: PlacementWeights = {
  imbalance: 1,
  churn: 1,
  unavailable: 1,
};

export const DEFAULT_LIMITS: Limits = {
  maxBodyBytes: 16 * 1024 ** 2,
  maxQueued: 256,
  maxQueuedBytes: 32 * 1024 ** 2,
  maxDeadlineMs: 10 * MINUTE_MS,
  retryPercent: 10,
};

export const DEFAULT_TIMING: Timing = {
  renewMs: 500,
  leaseMs: 2_000,
  authorityMs: 1_000,
  suspicionMs: 750,
  driftPpm: 10_000,
};

/** The rules in force before the first publication. */
export const DEFAULT_RULES: Rules = {
  precedence: DEFAULT_PRECEDENCE,
  operations: [],
  weights: DEFAULT_WEIGHTS,
  limits: DEFAULT_LIMITS,
  timing: DEFAULT_TIMING,
};
