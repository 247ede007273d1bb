import type {ClusterState} from '@banyandrum/config/state.js';
import type {ControlHandlers} from '@banyandrum/routers/peers.js';
import type {OwnershipContext} from './context.js';
import type {OwnershipControl} from './control.js';
import {fromTableMessage} from './control.js';
import type {Leadership} from './leadership.js';
import type {Standby} from './standby.js';

/** Handlers of the control messages that other routers send. */
export function createHandlers(
  ctx: OwnershipContext,
  leadership: Leadership,
  standby: Standby,
  encodeState: (state: ClusterState) => string,
): ControlHandlers<OwnershipControl> {
  const {store, clock} = ctx;
  const answerWithdraw = (
    cell: string,
    epoch: number,
  ): OwnershipControl['withdraw']['answer'] => {
    const role = standby.backing(cell, epoch);
    if (role === null) return refuse('not the standby of this epoch');
    if (role.withdrawnAt === null) return refuse('still consents');
    return {withdrawnForMs: clock.now() - role.withdrawnAt, refused: null};
  };

  return {
    consent: async (from, ask) => standby.answerConsent(from, ask),
    table: async (from, {table}) => ({
      stored: standby.storeTable(from, table),
    }),
    withdraw: async (_from, {cell, epoch}) => answerWithdraw(cell, epoch),
    resign: async (from, {cells}) => {
      const accepted = cells.filter(({cell, epoch, cleared, table}) =>
        standby.acceptResignation(from, cell, epoch, {
          cleared,
          table: table && fromTableMessage(table),
        }),
      );
      return {accepted: accepted.map(({cell}) => cell)};
    },
    leads: async () => ({
      leading: leadership
        .epochs()
        .map(({view}) => ({cell: view.cell, epoch: view.epoch})),
      next: store.current().next,
      publication: store.current().publication?.version ?? 0,
    }),
    state: async (_from, {next}) => {
      const state = store.current();
      return {encoded: state.next > next ? encodeState(state) : null};
    },
  };
}

function refuse(reason: string): OwnershipControl['withdraw']['answer'] {
  return {withdrawnForMs: null, refused: reason};
}
