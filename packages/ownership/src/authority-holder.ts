import type {Offset} from '@banyandrum/base/ids.js';
import type {View} from '@banyandrum/config/state.js';
import type {Authority} from './authority.js';
import type {OwnershipContext} from './context.js';
import {toTableMessage} from './control.js';
import type {ShardTable} from './table.js';
import {isAttestedLost, isCurrentView} from './views.js';

/** A leader's right to act for a cell, with the means to keep and end it. */
export interface AuthorityHolder extends Authority {
  /** The view that the right rests on. */
  view(): View;
  /**
   * Goes on under the next view, in which this process leads as well. Its
   * standby does not have the table yet; see `synchronise`.
   */
  advanceTo(view: View): void;
  /** Counts a consent for an epoch from when it was asked for. */
  recordConsent(epoch: Offset, askedAt: number): void;
  /** When the newest consent that counts was asked for. */
  lastConsentAt(): number;
  /**
   * Stops counting the standby's consent, before a claim of a view with
   * another standby is appended. The append may take effect without our
   * knowledge, and the new standby clears its way without asking the old
   * one; were the old one's consent still counted, two could act at once.
   */
  suspendConsent(): void;
  /** Counts consent again: the claim is proved not to have been appended. */
  restoreConsent(epoch: Offset): void;
  /** Whether such a claim may take effect, or already has. */
  hasPendingClaim(): boolean;
  /**
   * Sends the standby the whole table unless it has one of this epoch;
   * whether it has one in the end. Without it a successor has to ask all
   * servers and to wait for those that do not answer.
   */
  sendTableToStandby(): Promise<boolean>;
  /** Whether a complete table was recorded since the right began. */
  hasRecordedTable(): boolean;
  /** Ends the right for good. */
  revoke(): void;
}

/**
 * The right of this process to act for a cell, from the view given on for as
 * long as it leads without a break.
 *
 * @example
 * ```ts
 * const holder = createAuthorityHolder(ctx, view);
 * if (holder.mayAct()) write();
 * ```
 */
export function createAuthorityHolder(
  ctx: OwnershipContext,
  first: View,
): AuthorityHolder {
  const {clock, store, self, peers, timing} = ctx;
  let view = first;
  let ended = false;
  let consentedAt = -Infinity;
  let openClaims = 0;
  let recorded: ShardTable | null = null;
  let synchronisedEpoch = 0;

  const isRecent = (at: number): boolean =>
    clock.now() - at < timing.authorityMs;

  const hasConsent = (): boolean => openClaims === 0 && isRecent(consentedAt);

  const mayAct = (): boolean => {
    if (ended) return false;
    const state = store.current();
    if (!isCurrentView(state, view) || isAttestedLost(state, self))
      return false;
    return isRecent(store.confirmedAt()) || hasConsent();
  };

  const putAtStandby = async (table: ShardTable): Promise<boolean> => {
    const {standby} = view;
    if (standby === null) return true;
    const message = {table: toTableMessage(table)};
    const {responseTimeoutMs: answerMs} = timing;
    const res = await peers.ask(standby, 'table', message, answerMs);
    const isStored = res.ok && res.val.stored;
    if (isStored) synchronisedEpoch = table.epoch;
    return isStored;
  };

  const synchronise = async (): Promise<boolean> => {
    if (recorded === null) return false;
    if (synchronisedEpoch === view.epoch) return true;
    return putAtStandby({...recorded, epoch: view.epoch});
  };

  return {
    cell: first.cell,
    get epoch() {
      return view.epoch;
    },
    view: () => view,
    mayAct,
    async record(table) {
      const {epoch} = view;
      // A table of an earlier epoch would lie at the standby of that epoch.
      if (table.epoch !== epoch || !mayAct()) return false;
      recorded = table;
      const stored = await putAtStandby(table);
      return stored && view.epoch === epoch && mayAct();
    },
    advanceTo(next) {
      view = next;
      consentedAt = -Infinity;
      openClaims = 0;
    },
    recordConsent(epoch, askedAt) {
      if (epoch !== view.epoch) return;
      consentedAt = Math.max(consentedAt, askedAt);
    },
    lastConsentAt: () => consentedAt,
    suspendConsent: () => void openClaims++,
    restoreConsent(epoch) {
      if (epoch === view.epoch) openClaims--;
    },
    hasPendingClaim: () => openClaims > 0,
    sendTableToStandby: synchronise,
    hasRecordedTable: () => recorded !== null,
    revoke() {
      ended = true;
    },
  };
}
