import type {Clock} from '@banyandrum/base/clock.js';
import {untilAborted, within} from './condition.js';
import type {LeaseTask} from './lease-task.js';
import type {ShardLocator} from './shard-locator.js';
import type {ShardMap, TrackedShard, TableRecorder} from './shard-table.js';

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
  slot: TrackedShard,
  to: string,
  reason: string,
): Promise<void> {
  slot.state = 'held';
  slot.server = to;
  slot.next = null;
  slot.reason = reason;
  ctx.recorder.markChanged();
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
  slot: TrackedShard,
  reason: string,
): void {
  if (slot.server !== null) ctx.tasks.get(slot.server)?.drop([slot.shard]);
  slot.state = 'free';
  slot.server = null;
  slot.next = null;
  slot.reason = reason;
  slot.movedAt = ctx.clock.now();
  ctx.recorder.markChanged();
}

/** How long requests in flight may hold up a change that can wait. */
export const MAX_QUIESCE_MS = 1000;

/** How long such a change is put off then. */
const POSTPONE_MS = 30_000;

/**
 * Stops dispatch of a shard and lets its requests in flight finish. Without
 * `mustGo`, that is given up where they take long: newcomers would wait, for
 * a mere gain in balance, until a request that may run for minutes is over.
 * Returns whether the shard is quiet; dispatch goes on where it isn't.
 *
 * @example
 * ```ts
 * if (!(await quiesce(ctx, slot, task, false))) return;
 * ```
 */
export async function quiesce(
  ctx: HandoverContext,
  slot: TrackedShard,
  task: LeaseTask,
  isMandatory: boolean,
): Promise<boolean> {
  const {locator, clock, signal} = ctx;
  // A server that checks fences stops what still runs when it loses the shard.
  const wait = task.checksFences ? 'answered' : 'ended';
  const quiet = untilAborted(locator.pause(slot, wait), signal);
  const isQuiet = isMandatory
    ? quiet.then(() => true)
    : within(clock, MAX_QUIESCE_MS, quiet);
  if (await isQuiet) return !signal.aborted;
  if (signal.aborted) return false;
  slot.postponedUntil = clock.now() + POSTPONE_MS;
  locator.resume(slot);
  return false;
}

/** What a shard's way to another server is for. */
export interface HandoverRequest {
  readonly to: string;
  readonly reason: string;
  /** The old server may not keep it, however long its requests take. */
  readonly isMandatory: boolean;
}

/**
 * Moves a shard from one server to another: stops dispatch, lets requests in
 * flight finish, releases, grants. Requests that come meanwhile wait. Where
 * the receiver is lost meanwhile, the shard is left free. Where requests take
 * too long for a move that can wait, the shard stays.
 *
 * @example
 * ```ts
 * const order = {to: 'bed-3', reason: 'bed-2 is leaving', mustGo: true};
 * await handOver(ctx, slot, order);
 * ```
 */
export async function handOver(
  ctx: HandoverContext,
  slot: TrackedShard,
  {to, reason, isMandatory: mustGo}: HandoverRequest,
): Promise<void> {
  const {signal} = ctx;
  const from = slot.server === null ? undefined : ctx.tasks.get(slot.server);
  if (from === undefined) return;
  slot.state = 'moving';
  slot.next = to;
  ctx.recorder.markChanged();
  if (!(await ctx.recorder.commit())) return;
  if (!(await quiesce(ctx, slot, from, mustGo))) return cancelMove(ctx, slot);
  await from.release(slot.shard);
  if (signal.aborted) return;
  freeShard(ctx, slot, reason);
  const isThere = ctx.tasks.get(to)?.health() === 'ok';
  if (isThere) await grantShard(ctx, slot, to, reason);
  else ctx.locator.resume(slot);
}

/** The move is given up before the old server was told of it. */
function cancelMove({signal, recorder}: HandoverContext, slot: TrackedShard): void {
  if (signal.aborted) return;
  slot.state = 'held';
  slot.next = null;
  recorder.markChanged();
}
