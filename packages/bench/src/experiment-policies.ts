import type {Rules} from '@banyandrum/config/rules.js';

/** What one run does and leaves out. */
export interface ExperimentPolicy {
  readonly precedence: boolean;
  readonly ageing: boolean;
  /** Turns by caller and key. */
  readonly fair: boolean;
  readonly refuseEarly: boolean;
  /** Whether shards follow the load. */
  readonly moves: boolean;
  /** Whether moves wait until an imbalance is clear and lasts. */
  readonly hysteresis: boolean;
  /** Who counts the slots: the leader, or each entry its part of them. */
  readonly admission: 'leader' | 'entry';
  /** Whether the entry's own retries are bounded. */
  readonly retryBudget: boolean;
}

const CHOSEN: ExperimentPolicy = {
  precedence: true,
  ageing: true,
  fair: true,
  refuseEarly: true,
  moves: true,
  hysteresis: true,
  admission: 'leader',
  retryBudget: true,
};

/** The chosen policies and their baselines, by name. */
export const POLICIES: ReadonlyMap<string, ExperimentPolicy> = new Map([
  ['chosen', CHOSEN],
  ['no-precedence', {...CHOSEN, precedence: false}],
  ['no-ageing', {...CHOSEN, ageing: false}],
  ['fifo', {...CHOSEN, precedence: false, fair: false}],
  ['unfair', {...CHOSEN, fair: false}],
  ['no-early-refusal', {...CHOSEN, refuseEarly: false}],
  ['entry-limits', {...CHOSEN, admission: 'entry'}],
  ['no-hysteresis', {...CHOSEN, hysteresis: false}],
  ['static', {...CHOSEN, moves: false}],
  ['no-retry-budget', {...CHOSEN, retryBudget: false}],
]);

const UNBOUNDED_PERCENT = 100_000;

/** The user's rules as far as the policy keeps to them. */
export function rulesOf(rules: Rules, policy: ExperimentPolicy): Rules {
  const {retryPercent} = rules.limits;
  const percent = policy.retryBudget ? retryPercent : UNBOUNDED_PERCENT;
  return {
    ...rules,
    limits: {...rules.limits, retryPercent: percent},
    precedence: policy.ageing
      ? rules.precedence
      : rules.precedence.map(level => ({...level, ageAfterMs: 0})),
  };
}
