import {sleep} from '@banyandrum/base/clock.js';
import type {ClaimPlan, Claimer} from './claims.js';
import type {StandbyDoubts} from './consent.js';
import type {OwnershipContext} from './context.js';
import type {LedEpoch, Leadership} from './leadership.js';
import type {Membership} from './membership.js';

/** Sees to it that every cell led here has a standby. */
export interface StandbyKeeper extends StandbyDoubts {
  /** Runs until everything ends. */
  run(): Promise<void>;
}

/**
 * Replaces standbys that are silent, leaving or missing by a new view with
 * the same leader, all cells of one moment in one record.
 *
 * @example
 * ```ts
 * void createStandbyKeeper(ctx, membership, claimer, leadership).run();
 * ```
 */
export function createStandbyKeeper(
  ctx: OwnershipContext,
  membership: Membership,
  claimer: Claimer,
  leadership: Leadership,
): StandbyKeeper {
  const {clock, store, timing, signal} = ctx;
  const doubtedAt = new WeakMap<LedEpoch, number>();

  const needsStandby = (epoch: LedEpoch): boolean => {
    const {standby} = epoch.view;
    if (standby === null) return membership.candidates().length > 1;
    if (epoch.holder.hasOpenClaim() || isDoubted(epoch)) return true;
    return !membership.isWelcome(standby.host) || membership.isLeaving(standby);
  };

  const isDoubted = (epoch: LedEpoch): boolean => {
    const at = doubtedAt.get(epoch);
    return at !== undefined && epoch.holder.consentedAt() < at;
  };

  const plan = async (epoch: LedEpoch): Promise<ClaimPlan | null> => {
    const {cell, epoch: previous, standby: old} = epoch.view;
    const standby = await membership.findStandby(cell, old);
    if (standby === null && old === null) return null;
    return {
      claim: {cell, previous, leader: ctx.self, standby, settled: false},
      evidence: 'own-cell',
      table: null,
      clearedBefore: false,
    };
  };

  const replace = async (epochs: readonly LedEpoch[]): Promise<void> => {
    const plans = await Promise.all(epochs.map(plan));
    const wanted = epochs.flatMap((epoch, i) => {
      const claim = plans[i];
      return claim ? [{epoch, claim}] : [];
    });
    if (wanted.length === 0 || !isLogFresh()) return;
    for (const {epoch} of wanted) epoch.holder.forgoConsent();
    const outcome = await claimer.claim(wanted.map(({claim}) => claim));
    if (outcome !== 'not-appended') return;
    for (const {epoch} of wanted) epoch.holder.regainConsent();
  };

  // Consent is forgone for the claim, so while the log is down a claim would
  // only stop a leader that lives on consent alone.
  const isLogFresh = (): boolean =>
    clock.now() - store.confirmedAt() < timing.authorityMs / 2;

  return {
    doubt(epochs, reason) {
      for (const epoch of epochs) {
        if (isDoubted(epoch)) continue;
        doubtedAt.set(epoch, clock.now());
        const {cell, standby} = epoch.view;
        ctx.log.warn('standby doubted', {cell, host: standby?.host, reason});
      }
    },
    async run() {
      while (!signal.aborted) {
        const needy = leadership.epochs().filter(needsStandby);
        if (needy.length > 0 && isLogFresh()) await replace(needy);
        await sleep(clock, timing.tickMs, signal);
      }
    },
  };
}
