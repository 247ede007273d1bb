import type {Clock} from '@banyandrum/base/clock.js';
import {
  createRetryBudget,
  type RetryAllowance,
  type RetryBudget,
} from '@banyandrum/dispatch/retry-budget.js';
import {createRandom} from '@banyandrum/standins/seeded-random.js';
import {
  createRepeatLog,
  type RepeatWindow,
} from '@banyandrum/standins/repeat-log.js';

/** Routers that share a retry budget, and their callers. */
export interface RetryScenario {
  readonly routers: number;
  /** Requests per second of one router, by time in s. */
  requestsPerSecond(at: number): number;
  /** Share of the arrivals at servers that fail. */
  readonly failingShare: number;
  /** Times at which the router starts again, in s. */
  startsOf(router: number): readonly number[];
  /**
   * The number of routers as the router knows it; `ageS` is the time since its
   * last start.
   */
  countOf(router: number, at: number, ageS: number): number | null;
  readonly allowance: RetryAllowance;
  readonly seconds: number;
  readonly seed: number;
}

/** What became of the requests. */
export interface RetryResult {
  readonly worst: RepeatWindow;
  readonly requests: number;
  readonly served: number;
  readonly repeats: number;
}

const STEP_MS = 20;
const MAX_ATTEMPTS = 6;

/** Simulates the scenario. */
export function simulateRetries(scenario: RetryScenario): RetryResult {
  const {allowance, failingShare, seconds} = scenario;
  const random = createRandom(scenario.seed);
  let time = 0;
  const clock: Clock = {now: () => time, after: () => () => undefined};
  const log = createRepeatLog(allowance, () => time);
  const totals = {requests: 0, served: 0, repeats: 0};

  const startRouter = (
    router: number,
  ): {budget: RetryBudget; nextS: number} => {
    const startedAt = time;
    const current = (): number | null =>
      scenario.countOf(router, time / 1_000, (time - startedAt) / 1_000);
    const routers = {current, ageMs: () => 0};
    const budget = createRetryBudget(allowance, {clock, routers, random});
    const starts = scenario.startsOf(router);
    const nextS = starts.find(at => at * 1_000 > time) ?? Infinity;
    return {budget, nextS};
  };

  const serve = (budget: RetryBudget, id: string): void => {
    totals.requests++;
    log.noteRequest();
    budget.deposit('holds');
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
      if (attempt > 1) {
        if (!budget.tryWithdraw('holds')) return;
        totals.repeats++;
      }
      log.noteArrival(id);
      if (random() < failingShare) continue;
      totals.served++;
      return;
    }
  };

  const routers = Array.from({length: scenario.routers}, (_, at) =>
    startRouter(at),
  );
  for (; time < seconds * 1_000; time += STEP_MS) {
    const rate = scenario.requestsPerSecond(time / 1_000);
    for (const [at, {nextS}] of routers.entries()) {
      if (nextS * 1_000 <= time) routers[at] = startRouter(at);
      const {budget} = routers[at]!;
      let expected = (rate * STEP_MS) / 1_000;
      for (; expected > 0; expected--) {
        if (random() < expected) serve(budget, `r${totals.requests}`);
      }
    }
  }
  return {...totals, worst: log.worstWindow()};
}
