import type {CellId, Incarnation, Offset} from '@banyandrum/base/ids.js';
import {sameIncarnation} from '@banyandrum/base/ids.js';
import type {ClusterState, View} from '@banyandrum/config/state.js';
import type {OwnershipContext} from './context.js';
import type {ConsentResponse, ConsentRequest, TableMessage} from './control.js';
import {fromTableMessage} from './control.js';
import type {ShardTable} from './table.js';
import {isAttestedLost, viewAt, viewsWithStandby} from './views.js';

/** What this process keeps as the standby of one cell in one epoch. */
export interface StandbyRole {
  readonly view: View;
  /** When the leader last asked for consent. */
  readonly lastRequestAt: number;
  /** When this process withdrew; null while it still consents. */
  readonly withdrawnAt: number | null;
  /** Set once the leader said that it has stopped. */
  readonly resigned: {readonly cleared: boolean} | null;
  readonly table: ShardTable | null;
}

/** The standby's side of all cells that this process stands by for. */
export interface Standby {
  /** Brings the roles in line with the newest views. */
  reconcile(): void;
  /** Roles of epochs that are current as far as this process knows. */
  roles(): readonly StandbyRole[];
  role(cell: CellId, epoch: Offset): StandbyRole | null;
  answerConsent(from: Incarnation, ask: ConsentRequest): ConsentResponse;
  storeTable(from: Incarnation, message: TableMessage): boolean;
  /** Ends consent for good; there is no way back within the epoch. */
  withdraw(cell: CellId, epoch: Offset): void;
  /** Notes the leader's resignation, which also ends consent. */
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
  /** Whether new connections to a leader get no answer. */
  readonly isUnreached: (leader: Incarnation) => boolean;
  /** Called after each withdrawal. */
  readonly onWithdrawn: () => void;
  /** Called when a leader names an epoch that is not known here yet. */
  readonly onNewerEpoch: (leader: Incarnation) => void;
}

type MutableStandbyRole = {-readonly [K in keyof StandbyRole]: StandbyRole[K]};

/**
 * Keeps consent, withdrawal and tables of the cells that this process stands
 * by for. All of it is lost with the process, which is why views name
 * incarnations: the next run is no standby and consents to nothing.
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

  // Reconciles first, so that an answer never rests on an older view than
  // the newest that this process has read.
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
    return sameIncarnation(role.view.leader, from) ? role : null;
  };

  const consentTo = (
    from: Incarnation,
    cell: CellId,
    epoch: Offset,
  ): boolean => {
    const role = roleFor(from, cell, epoch);
    if (role === null) return false;
    role.lastRequestAt = ctx.clock.now();
    // An operator's word that this run is lost may have cleared a successor.
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
        .filter(({cell, epoch}) => consentTo(from, cell, epoch))
        .map(({cell}) => cell);
      const unreached = options.isUnreached(from);
      return {granted, leaving: options.isLeaving(), unreached};
    },
    storeTable(from, message) {
      const role = roleFor(from, message.cell, message.epoch);
      // Once withdrawn, the table is what this process takes over from. A
      // later change would be acknowledged to the old leader, carried out at
      // a server, and missing from what the new leader knows.
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
      // A table that came before the withdrawal is no newer than this one.
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
 * Keeps the newer table. A second one of the same version is acknowledged
 * only if it says the same, as when a reply was lost and it is sent again.
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
