import type {Offset} from '@banyandrum/base/ids.js';
import type {View} from '@banyandrum/config/state.js';
import type {Authority} from './authority.js';
import type {OwnershipContext} from './context.js';
import {toTableMessage} from './control.js';
import type {ShardTable} from './table.js';
import {isAttestedLost, isCurrentView} from './views.js';

/** A leader's authority for a cell, with operations to renew and revoke it. */
export interface AuthorityHolder extends Authority {
  /** The view that the authority is based on. */
  view(): View;
  /**
   * Continues under the next view, in which this process leads as well. The
   * standby of that view does not have the table yet; see
   * `sendTableToStandby`.
   */
  advanceTo(view: View): void;
  /** Records consent for an epoch; it counts from `askedAt`, the request. */
  recordConsent(epoch: Offset, askedAt: number): void;
  /** When the newest valid consent was requested. */
  lastConsentAt(): number;
  /**
   * Ignores the standby's consent from now on. Called before appending a
   * claim for a view with another standby: the append may take effect without
   * this process learning of it, and the new standby confirms that earlier
   * leaders have stopped without asking the old standby. If the old standby's
   * consent still counted, two leaders could act at once.
   */
  suspendConsent(): void;
  /** Honours consent again after a claim that was certainly not appended. */
  restoreConsent(epoch: Offset): void;
  /** Whether such a claim may still take effect or already has. */
  hasPendingClaim(): boolean;
  /**
   * Sends the standby the complete table unless it already has one of this
   * epoch. Returns whether the standby has one. Without it, a successor has
   * to query all servers and wait for those that do not answer.
   */
  sendTableToStandby(): Promise<boolean>;
  /** Whether a complete table was recorded under this authority. */
  hasRecordedTable(): boolean;
  /** Ends the authority permanently. */
  revoke(): void;
}

/**
 * Creates this process's authority for a cell. It starts with the given view
 * and lasts as long as the process leads without interruption.
 *
 * @example
 * ```ts
 * const holder = createAuthorityHolder(ctx, view);
 * if (holder.mayAct()) write();
 * ```
 */
export function createAuthorityHolder(
  ctx: OwnershipContext,
  initialView: View,
): AuthorityHolder {
  const {clock, store, self, peers, timing} = ctx;
  let view = initialView;
  let isRevoked = false;
  let lastConsentAt = -Infinity;
  let pendingClaims = 0;
  let recordedTable: ShardTable | null = null;
  let standbyTableEpoch = 0;

  const isRecent = (at: number): boolean =>
    clock.now() - at < timing.authorityMs;

  const hasConsent = (): boolean =>
    pendingClaims === 0 && isRecent(lastConsentAt);

  const mayAct = (): boolean => {
    if (isRevoked) return false;
    const state = store.current();
    if (!isCurrentView(state, view) || isAttestedLost(state, self))
      return false;
    return isRecent(store.confirmedAt()) || hasConsent();
  };

  const storeAtStandby = async (table: ShardTable): Promise<boolean> => {
    const {standby} = view;
    if (standby === null) return true;
    const message = {table: toTableMessage(table)};
    const {responseTimeoutMs} = timing;
    const res = await peers.ask(standby, 'table', message, responseTimeoutMs);
    const isStored = res.ok && res.val.stored;
    if (isStored) standbyTableEpoch = table.epoch;
    return isStored;
  };

  const sendTableToStandby = async (): Promise<boolean> => {
    if (recordedTable === null) return false;
    if (standbyTableEpoch === view.epoch) return true;
    return storeAtStandby({...recordedTable, epoch: view.epoch});
  };

  return {
    cell: initialView.cell,
    get epoch() {
      return view.epoch;
    },
    view: () => view,
    mayAct,
    async record(table) {
      const {epoch} = view;
      // A table of an earlier epoch is kept by the standby of that epoch.
      if (table.epoch !== epoch || !mayAct()) return false;
      recordedTable = table;
      const stored = await storeAtStandby(table);
      return stored && view.epoch === epoch && mayAct();
    },
    advanceTo(next) {
      view = next;
      lastConsentAt = -Infinity;
      pendingClaims = 0;
    },
    recordConsent(epoch, askedAt) {
      if (epoch !== view.epoch) return;
      lastConsentAt = Math.max(lastConsentAt, askedAt);
    },
    lastConsentAt: () => lastConsentAt,
    suspendConsent: () => void pendingClaims++,
    restoreConsent(epoch) {
      if (epoch === view.epoch) pendingClaims--;
    },
    hasPendingClaim: () => pendingClaims > 0,
    sendTableToStandby,
    hasRecordedTable: () => recordedTable !== null,
    revoke() {
      isRevoked = true;
    },
  };
}
