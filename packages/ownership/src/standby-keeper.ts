import type {ClaimPlan, Claimer} from './claims.js';
import {isTerminated} from './clearance.js';
import type {Condition} from './condition.js';
import type {OwnershipContext} from './context.js';
import type {Leadership, Tenure} from './leadership.js';
import type {Membership} from './membership.js';

const MAX_BACKOFF_MS = 2000;

/** Keeps a standby for every cell that this process leads. */
export interface StandbyManager {
  /** Marks the standby of these cells as unreliable, so that it is replaced. */
  doubt(tenures: readonly Tenure[], reason: string): void;
  /** Runs until the process's signal aborts. */
  run(): Promise<void>;
}

/**
 * Replaces standbys that are silent, leaving or missing by claiming a new view
 * with the same leader. All cells due at one time share a record.
 *
 * @example
 * ```ts
 * void createStandbyManager(...dependencies).run();
 * ```
 */
export function createStandbyManager(
  ctx: OwnershipContext,
  membership: Membership,
  claimer: Claimer,
  leadership: Leadership,
  changed: Condition,
): StandbyManager {
  const {clock, store, timing, signal} = ctx;
  const suspectedAt = new WeakMap<Tenure, number>();

  const isSuspected = (tenure: Tenure): boolean => {
    const at = suspectedAt.get(tenure) ?? -Infinity;
    return at > tenure.viewKnownSince() && at > tenure.holder.lastConsentAt();
  };

  const needsNewStandby = (tenure: Tenure): boolean => {
    const {standby} = tenure.holder.view();
    if (standby === null) return membership.candidates().length > 1;
    if (isSuspected(tenure) || membership.isLeaving(standby)) return true;
    return !membership.mayKeepRoles(standby.host) || isTerminated(ctx, standby);
  };

  const needsClaim = (tenure: Tenure): boolean =>
    tenure.holder.hasPendingClaim() ||
    needsNewStandby(tenure) ||
    hasUnsettledPairs(tenure);

  // The cell was handed over but no router claimed it. This process must not
  // continue under its old authority; its own claim starts a new tenure.
  const isAbandoned = (tenure: Tenure): boolean =>
    membership.mayKeepRoles(ctx.self.host) &&
    clock.now() - tenure.endedAt() > 2 * timing.suspicionMs;

  const plan = async (tenure: Tenure): Promise<ClaimPlan | null> => {
    const {cell, epoch: previous, standby: current} = tenure.holder.view();
    const standby = needsNewStandby(tenure)
      ? await membership.findStandby(cell, current)
      : current;
    if (standby === null && current === null) return null;
    const settled = tenure.isCleared();
    return {
      claim: {cell, previous, leader: ctx.self, standby, settled},
      table: null,
      clearedBefore: settled,
    };
  };

  const claimViews = async (tenures: readonly Tenure[]): Promise<boolean> => {
    const plans = await Promise.all(tenures.map(plan));
    const planned = tenures.flatMap((tenure, i) => {
      const claim = plans[i];
      if (!claim || claim.claim.previous !== tenure.holder.epoch) return [];
      return [{tenure, claim}];
    });
    if (planned.length === 0) return true;
    for (const {tenure} of planned) tenure.holder.suspendConsent();
    const outcome = await claimer.claim(planned.map(({claim}) => claim));
    if (outcome !== 'not-appended') return outcome === 'appended';
    for (const {tenure, claim} of planned) {
      tenure.holder.restoreConsent(claim.claim.previous);
    }
    return false;
  };

  // A claim suspends consent. While the log is down or slow, it would stop a
  // leader that acts on consent alone. On a slow log, a leader that may not act
  // anyway can claim without risk.
  const mayClaim = (tenure: Tenure): boolean => {
    const age = clock.now() - store.confirmedAt();
    if (age < timing.authorityMs / 2) return true;
    return age < timing.maxLogAgeMs && !tenure.holder.mayAct();
  };

  const findTenuresToClaim = (): readonly Tenure[] =>
    [
      ...leadership.activeTenures().filter(needsClaim),
      ...leadership.endedCurrentTenures().filter(isAbandoned),
    ].filter(mayClaim);

  return {
    doubt(tenures, reason) {
      for (const tenure of tenures) {
        if (isSuspected(tenure)) continue;
        suspectedAt.set(tenure, clock.now());
        const {cell, standby} = tenure.holder.view();
        ctx.log.warn('standby is unreliable; replacing it', {
          cell,
          host: standby?.host,
          reason,
        });
      }
      if (tenures.length > 0) changed.notify();
    },
    async run() {
      let backoffMs = timing.consentIntervalMs;
      while (!signal.aborted) {
        const tenures = findTenuresToClaim();
        const succeeded = tenures.length === 0 || (await claimViews(tenures));
        backoffMs = succeeded
          ? timing.consentIntervalMs
          : Math.min(MAX_BACKOFF_MS, backoffMs * (1 + ctx.random()));
        await changed.wait(backoffMs, signal);
      }
    },
  };
}

/**
 * Whether a claim should settle former pairs. The log keeps them until a claim
 * marks them as stopped; otherwise a successor of this process would wait for
 * hosts that are long lost.
 */
function hasUnsettledPairs(tenure: Tenure): boolean {
  const {unsettled} = tenure.holder.view();
  return tenure.isCleared() && unsettled.some(pair => pair.standby !== null);
}
