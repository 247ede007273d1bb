import type {CellId, Incarnation, Offset} from '@banyandrum/base/ids.js';
import {isSameIncarnation} from '@banyandrum/base/ids.js';
import type {ClusterState, View} from '@banyandrum/config/state.js';
import type {OwnershipContext} from './context.js';
import type {ConsentResponse, ConsentRequest, TableMessage} from './control.js';
import {fromTableMessage} from './control.js';
import type {ShardTable} from './table.js';
import {isAttestedLost, viewAt, viewsWithStandby} from './views.js';

/** State of this process as the standby of one cell in one epoch. */
export interface StandbyRole {
  readonly view: View;
  /** When the leader last requested consent. */
  readonly lastRequestAt: number;
  /** When this process withdrew consent; null while it still consents. */
  readonly withdrawnAt: number | null;
  /** Set once the leader has resigned. */
  readonly resigned: {readonly cleared: boolean} | null;
  readonly table: ShardTable | null;
}

/** This process as the standby of cells. */
export interface Standby {
  /** Updates the roles to the newest views. */
  reconcile(): void;
  /** Roles in the newest epochs that this process knows. */
  roles(): readonly StandbyRole[];
  role(cell: CellId, epoch: Offset): StandbyRole | null;
  answerConsent(from: Incarnation, ask: ConsentRequest): ConsentResponse;
  storeTable(from: Incarnation, message: TableMessage): boolean;
  /** Withdraws consent; this cannot be undone within the epoch. */
  withdraw(cell: CellId, epoch: Offset): void;
  /** Records the leader's resignation, which also withdraws consent. */
  acceptResignation(
    from: Incarnation,
    cell: CellId,
    epoch: Offset,
    resignation: {
      readonly cleared: boolean;
      readonly table: ShardTable | null;
    },
  ): boolean;
}

export interface StandbyOptions {
  /** Whether this process stops soon. */
  readonly isLeaving: () => boolean;
  /** Whether new connections to a leader fail. */
  readonly isUnreached: (leader: Incarnation) => boolean;
  /** Called after each withdrawal. */
  readonly onWithdrawn: () => void;
  /** Called when a leader names an epoch that is not known here yet. */
  readonly onNewerEpoch: (leader: Incarnation) => void;
}

type MutableStandbyRole = {-readonly [K in keyof StandbyRole]: StandbyRole[K]};

/**
 * Keeps the consent, withdrawals and tables of the cells for which this process
 * is the standby. All of it is lost when the process ends, which is why views
 * name incarnations: the next incarnation is not a standby and never consents.
 *
 * @example
 * ```ts
 * const {granted} = standby.answerConsent(from, {cells});
 * ```
 */
export function createStandby(
  ctx: OwnershipContext,
  options: StandbyOptions,
): Standby {
  const roles = new Map<CellId, MutableStandbyRole>();
  let reconciled: ClusterState | null = null;

  const reconcile = (): void => {
    const state = ctx.store.current();
    if (state === reconciled) return;
    reconciled = state;
    for (const {view} of [...roles.values()]) {
      if (!viewAt(state, view.cell, view.epoch)) roles.delete(view.cell);
    }
    for (const view of viewsWithStandby(state, ctx.self)) {
      if (roles.has(view.cell)) continue;
      roles.set(view.cell, createStandbyRole(view, ctx.clock.now()));
    }
  };

  // Reconciles first, so that a response never rests on a view older than the
  // newest that this process has read.
  const roleFor = (
    from: Incarnation,
    cell: CellId,
    epoch: Offset,
  ): MutableStandbyRole | null => {
    reconcile();
    const known = ctx.store.current().views.get(cell)?.epoch ?? 0;
    if (epoch > known) options.onNewerEpoch(from);
    const role = roles.get(cell);
    if (role?.view.epoch !== epoch) return null;
    return isSameIncarnation(role.view.leader, from) ? role : null;
  };

  const giveConsent = (
    from: Incarnation,
    cell: CellId,
    epoch: Offset,
  ): boolean => {
    const role = roleFor(from, cell, epoch);
    if (role === null) return false;
    role.lastRequestAt = ctx.clock.now();
    // A successor may already act if an operator attested this one lost.
    const isLost = isAttestedLost(ctx.store.current(), ctx.self);
    return role.withdrawnAt === null && !isLost;
  };

  const withdraw = (role: MutableStandbyRole): void => {
    role.withdrawnAt ??= ctx.clock.now();
    options.onWithdrawn();
  };

  return {
    reconcile,
    roles() {
      reconcile();
      return [...roles.values()];
    },
    role(cell, epoch) {
      reconcile();
      const role = roles.get(cell);
      return role?.view.epoch === epoch ? role : null;
    },
    answerConsent(from, {cells}) {
      const granted = cells
        .filter(({cell, epoch}) => giveConsent(from, cell, epoch))
        .map(({cell}) => cell);
      const unreached = options.isUnreached(from);
      return {granted, leaving: options.isLeaving(), unreached};
    },
    storeTable(from, message) {
      const role = roleFor(from, message.cell, message.epoch);
      // After a withdrawal, this process takes over from the table it has. A
      // later change would be acknowledged to the old leader and carried out
      // at a server, but be missing from the new leader's table.
      if (role === null || role.withdrawnAt !== null) return false;
      return storeNewer(role, message);
    },
    withdraw(cell, epoch) {
      reconcile();
      const role = roles.get(cell);
      if (role?.view.epoch === epoch) withdraw(role);
    },
    acceptResignation(from, cell, epoch, {cleared, table}) {
      const role = roleFor(from, cell, epoch);
      if (role === null) return false;
      // No table stored before the withdrawal is newer than this one.
      if (table !== null) role.table = table;
      role.resigned = {cleared};
      withdraw(role);
      return true;
    },
  };
}

function createStandbyRole(view: View, now: number): MutableStandbyRole {
  return {
    view,
    lastRequestAt: now,
    withdrawnAt: null,
    resigned: null,
    table: null,
  };
}

/**
 * Stores the table if it is newer. A table of the same version is acknowledged
 * only if it has the same entries, as when the leader retries after a lost
 * response.
 */
function storeNewer(role: MutableStandbyRole, message: TableMessage): boolean {
  const table = fromTableMessage(message);
  const known = role.table;
  const isNewer = known === null || table.version > known.version;
  const isRepeat =
    table.version === known?.version && hasSameEntries(table, known);
  if (isNewer || isRepeat) role.table = table;
  return isNewer || isRepeat;
}

function hasSameEntries(a: ShardTable, b: ShardTable): boolean {
  return JSON.stringify(a.entries) === JSON.stringify(b.entries);
}
