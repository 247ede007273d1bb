import {sleep} from '@banyandrum/base/clock.js';
import type {ClaimPlan, Claimer} from './claims.js';
import type {Condition} from './condition.js';
import type {OwnershipContext} from './context.js';
import type {Membership} from './membership.js';
import type {StandbyRole, Standby} from './standby.js';

const FIRST_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 2000;

/**
 * Claims the cells whose consent this process ended as their standby, all
 * that it knows of in one record, until the signal aborts. Where the log
 * does not take the claim it tries on with growing pauses; the withdrawal
 * stands, whatever comes of the claim.
 */
export async function runTakeover(
  ctx: OwnershipContext,
  membership: Membership,
  standby: Standby,
  claimer: Claimer,
  withdrawn: Condition,
): Promise<void> {
  const {clock, timing, signal} = ctx;
  let backoffMs = FIRST_BACKOFF_MS;
  while (!signal.aborted) {
    const roles = standby.roles().filter(role => role.withdrawnAt !== null);
    if (roles.length === 0) {
      backoffMs = FIRST_BACKOFF_MS;
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
