import type {Clock} from '@banyandrum/base/clock.js';
import {untilAborted, resolvesWithin} from './condition.js';
import type {LeaseTask} from './lease-task.js';
import type {ShardLocator} from './shard-locator.js';
import type {ShardMap, TrackedShard, TableRecorder} from './shard-table.js';

/** Dependencies of the functions that change the owner of a shard. */
export interface HandoverContext {
  readonly map: ShardMap;
  readonly tasks: ReadonlyMap<string, LeaseTask>;
  readonly recorder: TableRecorder;
  readonly locator: ShardLocator;
  readonly clock: Clock;
  readonly signal: AbortSignal;
}

/**
 * Grants a free shard to a server.
 *
 * @example
 * ```ts
 * await grantShard(ctx, tracked, 'bed-3', 'shard had no owner');
 * ```
 */
export async function grantShard(
  ctx: HandoverContext,
  tracked: TrackedShard,
  to: string,
  reason: string,
): Promise<void> {
  tracked.state = 'held';
  tracked.server = to;
  tracked.next = null;
  tracked.reason = reason;
  ctx.recorder.markChanged();
  // The standby must have the change before the server gets the shard: a
  // successor without it would grant the shard to another server.
  if (!(await ctx.recorder.commit())) return;
  const task = ctx.tasks.get(to);
  if (task === undefined)
    freeShard(ctx, tracked, `${to} is no longer available`);
  else task.add([tracked.shard]);
  ctx.locator.resume(tracked);
}

/** Marks a shard as free: no server may serve it any more. */
export function freeShard(
  ctx: HandoverContext,
  tracked: TrackedShard,
  reason: string,
): void {
  if (tracked.server !== null)
    ctx.tasks.get(tracked.server)?.remove([tracked.shard]);
  tracked.state = 'free';
  tracked.server = null;
  tracked.next = null;
  tracked.reason = reason;
  tracked.movedAt = ctx.clock.now();
  ctx.recorder.markChanged();
}

/** Longest wait for requests in flight before an optional move, in ms. */
export const MAX_QUIESCE_MS = 1000;

/** How long an optional move is postponed after that wait, in ms. */
const POSTPONE_MS = 30_000;

/**
 * Stops dispatch of a shard and waits until its requests in flight finish.
 * Unless `isMandatory`, gives up after {@link MAX_QUIESCE_MS}: new requests
 * would otherwise wait for a request that may run for minutes, only to improve
 * balance. Returns whether the shard has no requests in flight; dispatch is
 * resumed if it still has some.
 *
 * @example
 * ```ts
 * if (!(await quiesce(ctx, tracked, task, false))) return;
 * ```
 */
export async function quiesce(
  ctx: HandoverContext,
  tracked: TrackedShard,
  task: LeaseTask,
  isMandatory: boolean,
): Promise<boolean> {
  const {locator, clock, signal} = ctx;
  // A server that checks fences cancels running requests when it loses a shard.
  const wait = task.checksFences ? 'answered' : 'ended';
  const drained = untilAborted(locator.pause(tracked, wait), signal);
  const isDrained = isMandatory
    ? drained.then(() => true)
    : resolvesWithin(clock, MAX_QUIESCE_MS, drained);
  if (await isDrained) return !signal.aborted;
  if (signal.aborted) return false;
  tracked.postponedUntil = clock.now() + POSTPONE_MS;
  locator.resume(tracked);
  return false;
}

/** A move of a shard to another server. */
export interface HandoverRequest {
  readonly to: string;
  readonly reason: string;
  /** The old server can't keep the shard, however long its requests take. */
  readonly isMandatory: boolean;
}

/**
 * Moves a shard from one server to another: stops dispatch, waits for requests
 * in flight, releases the shard and grants it. Requests that arrive meanwhile
 * wait. If the target server is lost meanwhile, the shard is left free. If
 * requests take too long for an optional move, the shard stays.
 *
 * @example
 * ```ts
 * const request = {
 *   to: 'bed-3',
 *   reason: 'bed-2 is leaving',
 *   isMandatory: true,
 * };
 * await handOver(ctx, tracked, request);
 * ```
 */
export async function handOver(
  ctx: HandoverContext,
  tracked: TrackedShard,
  {to, reason, isMandatory}: HandoverRequest,
): Promise<void> {
  const {signal} = ctx;
  const from =
    tracked.server === null ? undefined : ctx.tasks.get(tracked.server);
  if (from === undefined) return;
  tracked.state = 'moving';
  tracked.next = to;
  ctx.recorder.markChanged();
  if (!(await ctx.recorder.commit())) return;
  if (!(await quiesce(ctx, tracked, from, isMandatory)))
    return cancelMove(ctx, tracked);
  await from.release(tracked.shard);
  if (signal.aborted) return;
  freeShard(ctx, tracked, reason);
  const isAvailable = ctx.tasks.get(to)?.health() === 'ok';
  if (isAvailable) await grantShard(ctx, tracked, to, reason);
  else ctx.locator.resume(tracked);
}

/** Cancels a move whose release has not been sent to the old server yet. */
function cancelMove(
  {signal, recorder}: HandoverContext,
  tracked: TrackedShard,
): void {
  if (signal.aborted) return;
  tracked.state = 'held';
  tracked.next = null;
  recorder.markChanged();
}
