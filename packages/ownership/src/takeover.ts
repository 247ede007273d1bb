import {sleep} from '@banyandrum/base/clock.js';
import type {ClaimPlan, Claimer} from './claims.js';
import type {Condition} from './condition.js';
import type {OwnershipContext} from './context.js';
import type {Membership} from './membership.js';
import type {StandbyRole, Standby} from './standby.js';

const MIN_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 2000;

/**
 * Claims the cells for which this process withdrew its consent as the standby,
 * all known ones in one record, until the signal aborts. Retries with
 * exponential backoff if the log does not accept the claim; the withdrawal
 * stands in any case.
 */
export async function runTakeover(
  ctx: OwnershipContext,
  membership: Membership,
  standby: Standby,
  claimer: Claimer,
  withdrawn: Condition,
): Promise<void> {
  const {clock, timing, signal} = ctx;
  let backoffMs = MIN_BACKOFF_MS;
  while (!signal.aborted) {
    const roles = standby.roles().filter(role => role.withdrawnAt !== null);
    if (roles.length === 0) {
      backoffMs = MIN_BACKOFF_MS;
      await withdrawn.wait(timing.watchIntervalMs, signal);
      continue;
    }
    const plans = await Promise.all(
      roles.map(role => planTakeover(ctx, membership, role)),
    );
    const outcome = await claimer.claim(plans);
    if (outcome === 'appended') continue;
    await sleep(clock, backoffMs * (0.5 + ctx.random() / 2), signal);
    backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
  }
}

async function planTakeover(
  ctx: OwnershipContext,
  membership: Membership,
  role: StandbyRole,
): Promise<ClaimPlan> {
  const {cell, epoch, leader} = role.view;
  const standby = await membership.findStandby(cell, leader);
  return {
    claim: {cell, previous: epoch, leader: ctx.self, standby, settled: false},
    table: role.table,
    clearedBefore: role.resigned?.cleared ?? false,
  };
}
