import type {OwnershipContext} from './context.js';
import type {ResignedCell} from './control.js';
import {toTableMessage} from './control.js';
import type {Leadership, Tenure} from './leadership.js';
import type {PeerViews} from './views.js';
import {groupByIncarnation} from './views.js';

/**
 * Hands cells over to their standbys: stops acting first, then sends each
 * standby the final tables of all its cells in one message. Cells without a
 * standby are not affected.
 *
 * Once the message is sent, this process never acts on the old authority
 * again, whatever the response: the standby may claim and act at once.
 *
 * @example
 * ```ts
 * await resignCells(ctx, leadership, leadership.activeTenures());
 * ```
 */
export async function resignCells(
  ctx: OwnershipContext,
  leadership: Leadership,
  tenures: readonly Tenure[],
): Promise<void> {
  const views = tenures.map(({holder}) => holder.view());
  const groups = groupByIncarnation(views, ({standby}) => standby);
  await Promise.all(
    [...groups.values()].map(group => {
      const cells = new Set(group.views.map(({cell}) => cell));
      const resigned = tenures.filter(({holder}) => cells.has(holder.cell));
      return resignTo(ctx, leadership, group, resigned);
    }),
  );
}

async function resignTo(
  ctx: OwnershipContext,
  leadership: Leadership,
  {peer}: PeerViews,
  tenures: readonly Tenure[],
): Promise<void> {
  const cells = await Promise.all(
    tenures.map(tenure => stopAndPackCell(leadership, tenure)),
  );
  const {responseTimeoutMs} = ctx.timing;
  const res = await ctx.peers.ask(peer, 'resign', {cells}, responseTimeoutMs);
  const accepted = res.ok ? res.val.accepted.length : 0;
  ctx.log.info('handed cells over to a standby', {
    to: peer.host,
    cells: cells.length,
    accepted,
  });
}

async function stopAndPackCell(
  leadership: Leadership,
  tenure: Tenure,
): Promise<ResignedCell> {
  const {cell, epoch} = tenure.holder;
  const cleared = tenure.isCleared();
  const table = await leadership.endTenure(tenure);
  return {cell, epoch, cleared, table: table && toTableMessage(table)};
}
