import type {View} from '@banyandrum/config/state.js';
import type {Authority} from './authority.js';
import type {OwnershipContext} from './context.js';
import {toTableMessage} from './control.js';
import type {ShardTable} from './table.js';
import {isAttestedLost, isCurrent} from './views.js';

/** A leader's right in one epoch, with the means to keep and to end it. */
export interface AuthorityHolder extends Authority {
  readonly view: View;
  /** Counts a consent of the standby from when it was asked for. */
  consented(askedAt: number): void;
  /** When the newest consent that counts was asked for. */
  consentedAt(): number;
  /**
   * Stops counting the standby's consent, before a claim of a view with
   * another standby is appended. The append may take effect without our
   * knowledge, and the new standby clears its way without asking the old
   * one; were the old one's consent still counted, two could act at once.
   */
  forgoConsent(): void;
  /** Counts consent again: the claim is proved not to have been appended. */
  regainConsent(): void;
  /** Whether such a claim may take effect, or already has. */
  hasOpenClaim(): boolean;
  /** Ends the right for good. */
  end(): void;
}

/**
 * The right of this process to act for a cell in one epoch.
 *
 * @example
 * ```ts
 * const holder = createAuthorityHolder(ctx, view);
 * if (holder.mayAct()) write();
 * ```
 */
export function createAuthorityHolder(
  ctx: OwnershipContext,
  view: View,
): AuthorityHolder {
  const {clock, store, self, peers, timing} = ctx;
  let ended = false;
  let consentedAt = -Infinity;
  let openClaims = 0;

  const isRecent = (at: number): boolean =>
    clock.now() - at < timing.authorityMs;

  const hasConsent = (): boolean => openClaims === 0 && isRecent(consentedAt);

  const mayAct = (): boolean => {
    if (ended) return false;
    const state = store.current();
    if (!isCurrent(state, view) || isAttestedLost(state, self)) return false;
    return isRecent(store.confirmedAt()) || hasConsent();
  };

  const putAtStandby = async (table: ShardTable): Promise<boolean> => {
    if (view.standby === null) return true;
    const message = {table: toTableMessage(table)};
    const {answerMs} = timing;
    const res = await peers.ask(view.standby, 'table', message, answerMs);
    return res.ok && res.val.stored;
  };

  return {
    cell: view.cell,
    epoch: view.epoch,
    view,
    mayAct,
    async record(table) {
      if (!mayAct()) return false;
      const stored = await putAtStandby(table);
      return stored && mayAct();
    },
    consented(askedAt) {
      consentedAt = Math.max(consentedAt, askedAt);
    },
    consentedAt: () => consentedAt,
    forgoConsent: () => void openClaims++,
    regainConsent: () => void openClaims--,
    hasOpenClaim: () => openClaims > 0,
    end() {
      ended = true;
    },
  };
}
