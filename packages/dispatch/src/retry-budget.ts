import type {Clock} from '@banyandrum/base/clock.js';
import type {RouterTotal} from './router-total.js';
import {createSlidingCount, type SlidingCount} from './sliding-count.js';

/** Limit on the retries that all routers together may send. */
export interface RetryAllowance {
  /** Retries allowed per request. */
  readonly ratio: number;
  /** Additional retries allowed in any window. */
  readonly slack: number;
  /** Length of a window, in ms. */
  readonly windowMs: number;
}

/** What a decision on a retry rests on, as it is logged. */
export interface RetryBasis {
  /** Retries that this router may still send now, rounded. */
  readonly left: number;
  /** This router's share of the slack, rounded. */
  readonly share: number;
  /** Number of routers among which the slack is divided; null if unknown. */
  readonly routers: number | null;
  /** Time since a leader last told that number, in ms; null if none did. */
  readonly routersAgeMs: number | null;
}

/** One router's part of the allowance, for each service. */
export interface RetryBudget {
  /** Counts a caller's request for the service. */
  deposit(service: string): void;
  /** Whether a retry is left. */
  hasLeft(service: string): boolean;
  /** Takes one retry from the budget; false if none is left. */
  tryWithdraw(service: string): boolean;
  /** The state of the service's budget. */
  basis(service: string): RetryBasis;
  /** Services that had a request. */
  services(): Iterable<string>;
  /** Replaces the allowance while the router runs. */
  configure(allowance: RetryAllowance): void;
}

/** Dependencies of the retry budget. */
export interface RetryBudgetConfig {
  readonly clock: Clock;
  readonly routers: RouterTotal;
  /** Returns numbers from 0 to 1. */
  random(): number;
}

/** The retries and requests of one service. */
interface ServiceCounts {
  readonly requests: SlidingCount;
  readonly retries: SlidingCount;
  /** Part of a retry, from 0 to 1, that must be left for the next one. */
  threshold: number;
}

/**
 * Fraction of the ratio that is used. The rest is a margin for load that moves
 * from one router to another within a window.
 */
const RATIO_SAFETY_FACTOR = 0.85;
/**
 * Fraction of the slack that is used, because up to 2.5 times as much may be in
 * one window: by a router that starts three times in it and its predecessor, or
 * by routers that were cut off from the leader one after the other and keep the
 * shares of earlier counts. The rest is a margin for the random thresholds.
 */
const SLACK_SAFETY_FACTOR = 0.33;
/** Fraction of its share that a router has at its start. */
const INITIAL_SHARE = 0.25;

/**
 * Creates a budget that bounds the retries of any window by a ratio of this
 * router's requests in it and by this router's share of the slack. The routers
 * keep within the allowance without communication.
 *
 * A router has no share of the slack while it doesn't know among how many it is
 * divided. After its start the share grows over one window: its predecessor
 * may have used the same share just before, and a new leader may not have
 * counted all routers yet.
 *
 * @example
 * ```ts
 * const budget = createRetryBudget(allowance, {clock, routers, random});
 * if (budget.tryWithdraw('holds')) sendAgain();
 * ```
 */
export function createRetryBudget(
  initial: RetryAllowance,
  {clock, routers, random}: RetryBudgetConfig,
): RetryBudget {
  let allowance = initial;
  let startedAt = clock.now();
  const services = new Map<string, ServiceCounts>();

  // With many routers, a router's limit is often less than one retry. Random
  // thresholds make such a share of the routers send one, not all or none.
  const nextThreshold = (): number => 1 - random();

  const countsOf = (service: string): ServiceCounts => {
    const known = services.get(service);
    if (known !== undefined) return known;
    const {windowMs} = allowance;
    const counts = {
      requests: createSlidingCount(clock, windowMs),
      retries: createSlidingCount(clock, windowMs),
      threshold: nextThreshold(),
    };
    services.set(service, counts);
    return counts;
  };

  const share = (): number => {
    const count = routers.current();
    if (count === null) return 0;
    const age = Math.min(1, (clock.now() - startedAt) / allowance.windowMs);
    const grown = INITIAL_SHARE + (1 - INITIAL_SHARE) * age;
    return (allowance.slack * SLACK_SAFETY_FACTOR * grown) / Math.max(1, count);
  };

  const left = ({requests, retries}: ServiceCounts): number =>
    allowance.ratio * RATIO_SAFETY_FACTOR * requests.atLeast() +
    share() -
    retries.atMost();

  const hasLeft = (counts: ServiceCounts): boolean =>
    left(counts) >= counts.threshold;

  return {
    deposit: service => countsOf(service).requests.add(),
    hasLeft: service => hasLeft(countsOf(service)),
    tryWithdraw(service) {
      const counts = countsOf(service);
      if (!hasLeft(counts)) return false;
      counts.retries.add();
      counts.threshold = nextThreshold();
      return true;
    },
    basis(service) {
      const ageMs = routers.ageMs();
      return {
        left: roundToHundredth(left(countsOf(service))),
        share: roundToHundredth(share()),
        routers: routers.current(),
        routersAgeMs: ageMs === Infinity ? null : Math.round(ageMs),
      };
    },
    services: () => services.keys(),
    configure(next) {
      // Counts of another window can't be converted: start as a new router.
      if (next.windowMs !== allowance.windowMs) {
        services.clear();
        startedAt = clock.now();
      }
      allowance = next;
    },
  };
}

function roundToHundredth(retries: number): number {
  return Math.round(retries * 100) / 100;
}
