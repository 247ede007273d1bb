import {sleep} from '@banyandrum/base/clock.js';
import type {CellId} from '@banyandrum/base/ids.js';
import type {Claim} from '@banyandrum/config/records.js';
import type {View} from '@banyandrum/config/state.js';
import type {OwnershipContext} from './context.js';
import type {ShardTable} from './table.js';

/**
 * A claim and the state that the new epoch starts from.
 *
 * Before a claim is appended, consent in the epoch that it replaces must have
 * ended if this process is that epoch's standby (by withdrawing it) or its
 * leader (by suspending it): applying such a claim removes that pair of leader
 * and standby from `unsettled`, the former pairs that a new leader waits for.
 * A claim by any other router leaves the pair on that list.
 */
export interface ClaimPlan {
  readonly claim: Claim;
  /** The complete table of the previous epoch, or null. */
  readonly table: ShardTable | null;
  /** Whether all earlier leaders are known to have stopped. */
  readonly clearedBefore: boolean;
}

/** `unknown`: the claim may have taken effect or may do so later. */
export type ClaimOutcome = 'appended' | 'not-appended' | 'unknown';

/** Appends claims to the log and keeps the plans behind them. */
export interface Claimer {
  claim(plans: readonly ClaimPlan[]): Promise<ClaimOutcome>;
  /** This process's newest plan for the cell if it can have led to the view. */
  planOf(view: View): ClaimPlan | null;
}

/**
 * Timeout of one append, in ms. Retrying is safe because a second claim for
 * the same epoch is void. Without the timeout, a request lost in transit would
 * leave the cell unserved for as long as the store waits for the reply.
 */
const APPEND_TIMEOUT_MS = 2000;

/** Keeps each record well below the record size limit of any log. */
const MAX_CLAIMS_PER_RECORD = 64;

/**
 * Creates the claimer through which all claims of this process go.
 *
 * @example
 * ```ts
 * const outcome = await claimer.claim(plans);
 * ```
 */
export function createClaimer(ctx: OwnershipContext): Claimer {
  // Only the newest plan of a cell can have led to a view of this process: a
  // plan for a later epoch is made after the earlier epoch was superseded.
  const plans = new Map<CellId, ClaimPlan>();

  const appendBatch = async (
    batch: readonly ClaimPlan[],
  ): Promise<ClaimOutcome> => {
    for (const plan of batch) plans.set(plan.claim.cell, plan);
    const claims = batch.map(({claim}) => claim);
    // The append isn't cancelled on timeout: a slow log may still accept it.
    const res = await Promise.race([
      ctx.store.append({kind: 'views', claims}, ctx.signal),
      sleep(ctx.clock, APPEND_TIMEOUT_MS, ctx.signal),
    ]);
    if (res === undefined) return 'unknown';
    if (res.ok) return 'appended';
    const {kind, detail} = res.val;
    ctx.log.warn('append of claims failed', {
      cells: batch.length,
      kind,
      detail,
    });
    return kind === 'unknown' ? 'unknown' : 'not-appended';
  };

  return {
    async claim(wanted) {
      let worstOutcome: ClaimOutcome = 'appended';
      for (let i = 0; i < wanted.length; i += MAX_CLAIMS_PER_RECORD) {
        const outcome = await appendBatch(
          wanted.slice(i, i + MAX_CLAIMS_PER_RECORD),
        );
        worstOutcome = worseOutcome(worstOutcome, outcome);
      }
      return worstOutcome;
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
