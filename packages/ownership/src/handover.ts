import type {Clock} from '@banyandrum/base/clock.js';
import {untilAborted} from './condition.js';
import type {LeaseTask} from './lease-task.js';
import type {ShardLocator} from './shard-locator.js';
import type {ShardMap, Slot, TableRecorder} from './shard-table.js';

/** What changes of ownership work on. */
export interface HandoverContext {
  readonly map: ShardMap;
  readonly tasks: ReadonlyMap<string, LeaseTask>;
  readonly recorder: TableRecorder;
  readonly locator: ShardLocator;
  readonly clock: Clock;
  readonly signal: AbortSignal;
}

/**
 * Gives a shard that no server may hold to a server.
 *
 * @example
 * ```ts
 * await grantShard(ctx, slot, 'bed-3', 'nobody owned it');
 * ```
 */
export async function grantShard(
  ctx: HandoverContext,
  slot: Slot,
  to: string,
  reason: string,
): Promise<void> {
  slot.state = 'held';
  slot.server = to;
  slot.next = null;
  slot.reason = reason;
  ctx.recorder.touch();
  // Only once the standby knows may the server be told: a successor that
  // doesn't know would grant the shard to another server.
  if (!(await ctx.recorder.commit())) return;
  const task = ctx.tasks.get(to);
  if (task === undefined) freeShard(ctx, slot, `${to} went away`);
  else task.add([slot.shard]);
  ctx.locator.resume(slot);
}

/** Notes that no server may hold the shard any more. */
export function freeShard(
  ctx: HandoverContext,
  slot: Slot,
  reason: string,
): void {
  if (slot.server !== null) ctx.tasks.get(slot.server)?.drop([slot.shard]);
  slot.state = 'free';
  slot.server = null;
  slot.next = null;
  slot.reason = reason;
  slot.movedAt = ctx.clock.now();
  ctx.recorder.touch();
}

/**
 * Moves a shard from one server to another: stops dispatch, lets requests in
 * flight finish, releases, grants. Requests that come meanwhile wait. Where
 * the receiver is lost meanwhile, the shard is left free.
 *
 * @example
 * ```ts
 * await handOver(ctx, slot, 'bed-3', 'bed-2 is leaving');
 * ```
 */
export async function handOver(
  ctx: HandoverContext,
  slot: Slot,
  to: string,
  reason: string,
): Promise<void> {
  const {signal} = ctx;
  const from = slot.server === null ? undefined : ctx.tasks.get(slot.server);
  if (from === undefined) return;
  slot.state = 'moving';
  slot.next = to;
  ctx.recorder.touch();
  if (!(await ctx.recorder.commit())) return;
  await untilAborted(ctx.locator.pause(slot), signal);
  if (signal.aborted) return;
  await from.release(slot.shard);
  if (signal.aborted) return;
  freeShard(ctx, slot, reason);
  const isThere = ctx.tasks.get(to)?.health() === 'ok';
  if (isThere) await grantShard(ctx, slot, to, reason);
  else ctx.locator.resume(slot);
}
