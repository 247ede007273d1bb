import type {CellId} from '@banyandrum/base/ids.js';
import type {Claim} from '@banyandrum/config/records.js';
import type {View} from '@banyandrum/config/state.js';
import type {OwnershipContext} from './context.js';
import type {ShardTable} from './table.js';

/**
 * Why no consent can keep the previous leader acting for longer than T from
 * now on. **Every claim needs one before it is appended**, not only before
 * the claimant acts: a later successor looks only at the newest view, so a
 * chain of views is safe only where each link ended the consent before it.
 *
 * - `first`: the cell has no view yet.
 * - `no-standby`: the previous leader had nobody to consent.
 * - `own-withdrawal`: this process is its standby and withdrew.
 * - `standby-withdrew`: its standby answered that it withdrew.
 * - `standby-gone`, `leader-gone`: another incarnation answers at the
 *   address, or an operator attested the host lost.
 * - `resigned`: the leader said that it has stopped acting.
 * - `own-cell`: this process is the leader itself and forwent its consent.
 */
export type Evidence =
  | 'first'
  | 'no-standby'
  | 'own-withdrawal'
  | 'standby-withdrew'
  | 'standby-gone'
  | 'leader-gone'
  | 'resigned'
  | 'own-cell';

/** A claim with its justification and what the new epoch starts from. */
export interface ClaimPlan {
  readonly claim: Claim;
  readonly evidence: Evidence;
  /** The complete table of the previous epoch, or null. */
  readonly table: ShardTable | null;
  /** Whether the previous leader and all before it are known to be stopped. */
  readonly clearedBefore: boolean;
}

/** - `unknown`: it may take effect, now or later. */
export type ClaimOutcome = 'appended' | 'not-appended' | 'unknown';

/** Appends claims and remembers what they were based on. */
export interface Claimer {
  claim(plans: readonly ClaimPlan[]): Promise<ClaimOutcome>;
  /** The newest plan of this process for a cell, if it led to the view. */
  planOf(view: View): ClaimPlan | null;
}

/** Keeps a record well below any log's limit for one record. */
const MAX_CLAIMS = 64;

/**
 * Makes the one way by which this process claims cells.
 *
 * @example
 * ```ts
 * const outcome = await claimer.claim(plans);
 * ```
 */
export function createClaimer(ctx: OwnershipContext): Claimer {
  // Only the newest plan of a cell can have led to a view of ours: a plan
  // for a later epoch is made after this process saw the earlier one go by.
  const plans = new Map<CellId, ClaimPlan>();

  const appendBatch = async (
    batch: readonly ClaimPlan[],
  ): Promise<ClaimOutcome> => {
    for (const plan of batch) plans.set(plan.claim.cell, plan);
    const claims = batch.map(({claim}) => claim);
    const res = await ctx.store.append({kind: 'views', claims}, ctx.signal);
    if (res.ok) return 'appended';
    const {kind, detail} = res.val;
    ctx.log.warn('claim failed', {cells: batch.length, kind, detail});
    return kind === 'unknown' ? 'unknown' : 'not-appended';
  };

  return {
    async claim(wanted) {
      let worst: ClaimOutcome = 'appended';
      for (let i = 0; i < wanted.length; i += MAX_CLAIMS) {
        const outcome = await appendBatch(wanted.slice(i, i + MAX_CLAIMS));
        worst = worse(worst, outcome);
      }
      return worst;
    },
    planOf(view) {
      const plan = plans.get(view.cell);
      if (plan === undefined || plan.claim.previous >= view.epoch) return null;
      return plan;
    },
  };
}

const SEVERITY = {appended: 0, 'not-appended': 1, unknown: 2} as const;

function worse(a: ClaimOutcome, b: ClaimOutcome): ClaimOutcome {
  return SEVERITY[a] >= SEVERITY[b] ? a : b;
}
