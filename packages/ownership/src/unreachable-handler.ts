import type {Incarnation} from '@banyandrum/base/ids.js';
import type {OwnershipContext} from './context.js';
import type {Leadership, Tenure} from './leadership.js';
import type {Membership} from './membership.js';
import {resignCells} from './resignation.js';

export interface UnreachableHandlerOptions {
  readonly ctx: OwnershipContext;
  readonly membership: Membership;
  readonly leadership: Leadership;
  readonly doubt: (tenures: readonly Tenure[], reason: string) => void;
}

/** Called when a standby's new connections to this leader get no answer. */
export type UnreachableHandler = (
  standby: Incarnation,
  tenures: readonly Tenure[],
) => void;

const MAX_ROUTERS_ASKED = 3;

type Reachability = 'reached' | 'unreached' | 'unknown';

/**
 * Creates the handler for a standby's report that it cannot reach this leader.
 * It asks other routers to probe this one. If all that answer fail as well,
 * the cells are handed over to the standby. If one succeeds, the fault lies
 * with the standby, which is replaced. If none answers, the cause is unknown
 * and nothing is done.
 *
 * @example
 * ```ts
 * const handleUnreachable = createUnreachableHandler(options);
 * if (answer.unreached) handleUnreachable(standby, tenures);
 * ```
 */
export function createUnreachableHandler(
  options: UnreachableHandlerOptions,
): UnreachableHandler {
  const {ctx, leadership, doubt} = options;
  let isExamining = false;

  const examine = async (
    standby: Incarnation,
    tenures: readonly Tenure[],
  ): Promise<void> => {
    const reachability = await askOtherRouters(options, standby);
    if (reachability === 'unknown') return;
    if (reachability === 'reached') return doubt(tenures, 'cannot reach us');
    const ready = tenures.filter(({holder}) => !holder.hasPendingClaim());
    ctx.log.warn('other routers cannot reach this router', {
      cells: ready.length,
    });
    await resignCells(ctx, leadership, ready);
  };

  return (standby, tenures) => {
    if (isExamining) return;
    isExamining = true;
    void examine(standby, tenures).finally(() => {
      isExamining = false;
    });
  };
}

async function askOtherRouters(
  {ctx, membership}: UnreachableHandlerOptions,
  standby: Incarnation,
): Promise<Reachability> {
  const others = membership
    .otherCandidates()
    .filter(({host}) => host !== standby.host)
    .map(router => ({router, order: ctx.random()}))
    .sort((a, b) => a.order - b.order)
    .slice(0, MAX_ROUTERS_ASKED);
  const answers = await Promise.all(
    others.map(async ({router}): Promise<Reachability> => {
      const found = await membership.findIncarnation(router);
      if (found === null) return 'unknown';
      const {responseTimeoutMs} = ctx.timing;
      const res = await ctx.peers.ask(
        found,
        'reach',
        {},
        2 * responseTimeoutMs,
      );
      if (!res.ok) return 'unknown';
      return res.val.reached ? 'reached' : 'unreached';
    }),
  );
  if (answers.includes('reached')) return 'reached';
  return answers.includes('unreached') ? 'unreached' : 'unknown';
}
