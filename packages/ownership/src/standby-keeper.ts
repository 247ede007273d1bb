import type {ClaimPlan, Claimer} from './claims.js';
import {isKnownTerminated} from './clearance.js';
import type {Condition} from './condition.js';
import type {OwnershipContext} from './context.js';
import type {Leadership, Tenure} from './leadership.js';
import type {Membership} from './membership.js';

const MAX_BACKOFF_MS = 2000;

/** Sees to it that every cell led here has a standby. */
export interface StandbyManager {
  /** The standby of these cells cannot be relied on any more. */
  doubt(tenures: readonly Tenure[], reason: string): void;
  /** Runs until everything ends. */
  run(): Promise<void>;
}

/**
 * Replaces standbys that are silent, leaving or missing by a new view with
 * the same leader, all cells of one moment in one record.
 *
 * @example
 * ```ts
 * void createStandbyKeeper(...parts).run();
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
  const doubtedAt = new WeakMap<Tenure, number>();

  const isDoubted = (tenure: Tenure): boolean => {
    const at = doubtedAt.get(tenure) ?? -Infinity;
    return at > tenure.viewKnownSince() && at > tenure.holder.lastConsentAt();
  };

  const isUnfit = (tenure: Tenure): boolean => {
    const {standby} = tenure.holder.view();
    if (standby === null) return membership.candidates().length > 1;
    if (isDoubted(tenure) || membership.isLeaving(standby)) return true;
    return (
      !membership.mayKeepRoles(standby.host) || isKnownTerminated(ctx, standby)
    );
  };

  const needsClaim = (tenure: Tenure): boolean =>
    tenure.holder.hasPendingClaim() ||
    isUnfit(tenure) ||
    hasUnsettledPairs(tenure);

  // A cell that was handed over and that nobody took. This process may not go
  // on by its old right; with a claim of its own it starts anew.
  const isAbandoned = (tenure: Tenure): boolean =>
    membership.mayKeepRoles(ctx.self.host) &&
    clock.now() - tenure.endedAt() > 2 * timing.suspicionMs;

  const plan = async (tenure: Tenure): Promise<ClaimPlan | null> => {
    const {cell, epoch: previous, standby: old} = tenure.holder.view();
    const standby = isUnfit(tenure)
      ? await membership.findStandby(cell, old)
      : old;
    if (standby === null && old === null) return null;
    const settled = tenure.isCleared();
    return {
      claim: {cell, previous, leader: ctx.self, standby, settled},
      table: null,
      clearedBefore: settled,
    };
  };

  const renew = async (tenures: readonly Tenure[]): Promise<boolean> => {
    const plans = await Promise.all(tenures.map(plan));
    const wanted = tenures.flatMap((tenure, i) => {
      const claim = plans[i];
      if (!claim || claim.claim.previous !== tenure.holder.epoch) return [];
      return [{tenure, claim}];
    });
    if (wanted.length === 0) return true;
    for (const {tenure} of wanted) tenure.holder.suspendConsent();
    const outcome = await claimer.claim(wanted.map(({claim}) => claim));
    if (outcome !== 'not-appended') return outcome === 'appended';
    for (const {tenure, claim} of wanted) {
      tenure.holder.restoreConsent(claim.claim.previous);
    }
    return false;
  };

  // Consent is forgone for the claim, so while the log is down or slow a claim
  // would only stop a leader that lives on consent alone. Where the log is
  // slow, one that may not act anyway has nothing to lose.
  const mayClaim = (tenure: Tenure): boolean => {
    const age = clock.now() - store.confirmedAt();
    if (age < timing.authorityMs / 2) return true;
    return age < timing.maxLogAgeMs && !tenure.holder.mayAct();
  };

  const findNeedy = (): readonly Tenure[] =>
    [
      ...leadership.activeTenures().filter(needsClaim),
      ...leadership.endedCurrentTenures().filter(isAbandoned),
    ].filter(mayClaim);

  return {
    doubt(tenures, reason) {
      for (const tenure of tenures) {
        if (isDoubted(tenure)) continue;
        doubtedAt.set(tenure, clock.now());
        const {cell, standby} = tenure.holder.view();
        ctx.log.warn('standby doubted', {cell, host: standby?.host, reason});
      }
      if (tenures.length > 0) changed.notify();
    },
    async run() {
      let backoffMs = timing.consentIntervalMs;
      while (!signal.aborted) {
        const needy = findNeedy();
        const isDone = needy.length === 0 || (await renew(needy));
        backoffMs = isDone
          ? timing.consentIntervalMs
          : Math.min(MAX_BACKOFF_MS, backoffMs * (1 + ctx.random()));
        await changed.wait(backoffMs, signal);
      }
    },
  };
}

/**
 * Former pairs are kept in the log until a claim says that they are over. A
 * successor of this process would else wait for hosts that are long gone.
 */
function hasUnsettledPairs(tenure: Tenure): boolean {
  const {unsettled} = tenure.holder.view();
  return tenure.isCleared() && unsettled.some(pair => pair.standby !== null);
}
