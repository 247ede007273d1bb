import type {CellId, Offset} from '@banyandrum/base/ids.js';
import type {ClusterState} from '@banyandrum/config/state.js';
import type {ControlHandlers} from '@banyandrum/routers/peers.js';
import type {OwnershipContext} from './context.js';
import type {OwnershipControl, WithdrawResponse} from './control.js';
import {fromTableMessage} from './control.js';
import type {Leadership} from './leadership.js';
import type {Standby} from './standby.js';
import {probeLeader, leaderSilenceMs} from './standby-watch.js';

/** Creates the handlers of control messages from other routers. */
export function createHandlers(
  ctx: OwnershipContext,
  leadership: Leadership,
  standby: Standby,
  encodeState: (state: ClusterState) => string,
): ControlHandlers<OwnershipControl> {
  const {store} = ctx;
  return {
    consent: async (from, ask) => standby.answerConsent(from, ask),
    table: async (from, {table}) => ({
      stored: standby.storeTable(from, table),
    }),
    withdraw: (_from, {cell, epoch}) =>
      handleWithdraw(ctx, standby, cell, epoch),
    resign: async (from, {cells}) => {
      const accepted = cells.filter(({cell, epoch, cleared, table}) =>
        standby.acceptResignation(from, cell, epoch, {
          cleared,
          table: table && fromTableMessage(table),
        }),
      );
      return {accepted: accepted.map(({cell}) => cell)};
    },
    reach: async from => ({
      reached: (await probeLeader(ctx, from)) === 'there',
    }),
    leads: async () => ({
      leading: leadership
        .activeTenures()
        .map(({holder: {cell, epoch}}) => ({cell, epoch})),
      next: store.current().next,
      publication: store.current().publication?.version ?? 0,
    }),
    state: async (_from, {next}) => {
      const state = store.current();
      return {encoded: state.next > next ? encodeState(state) : null};
    },
  };
}

/**
 * Handles a request to end consent in an epoch. The requester sends it only to
 * the leader and the standby of that epoch, and only when it has read the log
 * and can claim at once. Therefore this process withdraws even if it cannot
 * read the log itself.
 */
async function handleWithdraw(
  ctx: OwnershipContext,
  standby: Standby,
  cell: CellId,
  epoch: Offset,
): Promise<WithdrawResponse> {
  // A process that knows a later view neither acts nor consents in this epoch.
  const known = ctx.store.current().views.get(cell)?.epoch ?? 0;
  if (known > epoch) return {withdrawnForMs: 0, refused: null};
  const role = standby.role(cell, epoch);
  if (role === null) return refuse('not the standby of this epoch');
  if (role.withdrawnAt === null) {
    if (leaderSilenceMs(ctx, role) <= ctx.timing.suspicionMs) {
      return refuse('its leader asks for consent');
    }
    const proof = await probeLeader(ctx, role.view.leader);
    if (proof === 'there' || proof === 'paused') {
      return refuse('its leader is not proved lost');
    }
    if (leaderSilenceMs(ctx, role) <= ctx.timing.suspicionMs) {
      return refuse('its leader asks for consent');
    }
    standby.withdraw(cell, epoch);
  }
  const withdrawnAt = role.withdrawnAt ?? ctx.clock.now();
  return {withdrawnForMs: ctx.clock.now() - withdrawnAt, refused: null};
}

function refuse(reason: string): WithdrawResponse {
  return {withdrawnForMs: null, refused: reason};
}
