import {sleep} from '@banyandrum/base/clock.js';
import type {CellId} from '@banyandrum/base/ids.js';
import type {Claim} from '@banyandrum/config/records.js';
import type {View} from '@banyandrum/config/state.js';
import type {OwnershipContext} from './context.js';
import type {ShardTable} from './table.js';

/**
 * A claim and what the new epoch starts from.
 *
 * Before a claim is appended, consent in the epoch that it replaces must have
 * ended where this process is its standby (by withdrawal) or its leader (by
 * forgoing it): the fold drops that pair from the ones to be cleared. Any
 * other router's claim leaves the pair on the list.
 */
export interface ClaimPlan {
  readonly claim: Claim;
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

/**
 * How long to wait for one append, in ms. A second claim for the same epoch is
 * void, so trying again does no harm, while a request that was lost on its
 * way would cost the cell all the time that the store waits for it.
 */
const APPEND_TIMEOUT_MS = 2000;

/** Keeps a record well below any log's limit for one record. */
const MAX_CLAIMS_PER_RECORD = 64;

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
    // Not cancelled when patience ends: a slow log may still take it.
    const res = await Promise.race([
      ctx.store.append({kind: 'views', claims}, ctx.signal),
      sleep(ctx.clock, APPEND_TIMEOUT_MS, ctx.signal),
    ]);
    if (res === undefined) return 'unknown';
    if (res.ok) return 'appended';
    const {kind, detail} = res.val;
    ctx.log.warn('claim failed', {cells: batch.length, kind, detail});
    return kind === 'unknown' ? 'unknown' : 'not-appended';
  };

  return {
    async claim(wanted) {
      let worst: ClaimOutcome = 'appended';
      for (let i = 0; i < wanted.length; i += MAX_CLAIMS_PER_RECORD) {
        const outcome = await appendBatch(
          wanted.slice(i, i + MAX_CLAIMS_PER_RECORD),
        );
        worst = worseOutcome(worst, outcome);
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

function worseOutcome(a: ClaimOutcome, b: ClaimOutcome): ClaimOutcome {
  return SEVERITY[a] >= SEVERITY[b] ? a : b;
}
