import type {Incarnation} from '@banyandrum/base/ids.js';
import type {OwnershipContext} from './context.js';
import type {Leadership, Tenure} from './leadership.js';
import type {Membership} from './membership.js';
import {resignCells} from './resignation.js';

export interface UnreachedOptions {
  readonly ctx: OwnershipContext;
  readonly membership: Membership;
  readonly leadership: Leadership;
  readonly doubt: (tenures: readonly Tenure[], reason: string) => void;
}

/** Told that a standby's new connections to this leader get no answer. */
export type NoteUnreached = (
  standby: Incarnation,
  tenures: readonly Tenure[],
) => void;

const WITNESSES = 3;

type Testimony = 'reached' | 'unreached' | 'unknown';

/**
 * Acts on a standby's word that it cannot reach this leader. Other routers
 * are asked to try: if none of them gets through either, the cells go to the
 * standby; if one does, the fault is the standby's, and another replaces it;
 * if nobody answers, nothing is known and nothing is done.
 *
 * @example
 * ```ts
 * const noteUnreached = createUnreached(options);
 * if (answer.unreached) noteUnreached(standby, tenures);
 * ```
 */
export function createUnreached(options: UnreachedOptions): NoteUnreached {
  const {ctx, leadership, doubt} = options;
  let asking = false;

  const examine = async (
    standby: Incarnation,
    tenures: readonly Tenure[],
  ): Promise<void> => {
    const testimony = await askWitnesses(options, standby);
    if (testimony === 'unknown') return;
    if (testimony === 'reached') return doubt(tenures, 'cannot reach us');
    const ready = tenures.filter(({holder}) => !holder.hasPendingClaim());
    ctx.log.warn('nobody reaches this router', {cells: ready.length});
    await resignCells(ctx, leadership, ready);
  };

  return (standby, tenures) => {
    if (asking) return;
    asking = true;
    void examine(standby, tenures).finally(() => {
      asking = false;
    });
  };
}

async function askWitnesses(
  {ctx, membership}: UnreachedOptions,
  standby: Incarnation,
): Promise<Testimony> {
  const others = membership
    .otherCandidates()
    .filter(({host}) => host !== standby.host)
    .map(router => ({router, order: ctx.random()}))
    .sort((a, b) => a.order - b.order)
    .slice(0, WITNESSES);
  const said = await Promise.all(
    others.map(async ({router}): Promise<Testimony> => {
      const found = await membership.findIncarnation(router);
      if (found === null) return 'unknown';
      const {responseTimeoutMs: answerMs} = ctx.timing;
      const res = await ctx.peers.ask(found, 'reach', {}, 2 * answerMs);
      if (!res.ok) return 'unknown';
      return res.val.reached ? 'reached' : 'unreached';
    }),
  );
  if (said.includes('reached')) return 'reached';
  return said.includes('unreached') ? 'unreached' : 'unknown';
}
