/**
 * Hot keys as shards of their own. Both changes happen on one server: while
 * a key goes from one shard id to the other, a request under either id runs
 * where the key is owned.
 */
import {type HandoverContext, quiesce} from './handover.js';
import type {TrackedShard} from './shard-table.js';

/** A hot key's slot and that of the hash range that it falls into. */
export interface HotPair {
  readonly key: string;
  readonly hot: TrackedShard;
  readonly range: TrackedShard;
}

/**
 * Makes a key a shard of its own, on the server that has its hash range.
 * Before the new shard may move, no request for the key may be in flight
 * under the range's id: the old server would run it beside the new owner. So
 * the range stops, and its requests in flight finish, before the key counts
 * under its own id.
 *
 * @example
 * ```ts
 * await splitKey(ctx, {key, hot: map.addHot(key), range});
 * ```
 */
export async function splitKey(
  ctx: HandoverContext,
  pair: HotPair,
): Promise<void> {
  const {key, hot, range} = pair;
  const {map, recorder, locator} = ctx;
  const task = range.server === null ? undefined : ctx.tasks.get(range.server);
  if (task === undefined) return map.removeHotKey(key);
  // Set before anything is awaited: any change of the table records this
  // entry too. A successor that found it free would give the key to another
  // server while requests for it still run under the range's id.
  hot.state = 'held';
  hot.server = range.server;
  hot.reason = 'split off as a hot key';
  recorder.markChanged();
  // Quiet before the server is told: an undone split would else stop what
  // runs for the key.
  if (!(await quiesce(ctx, range, task, false))) return forget(ctx, key);
  if (await recorder.commit()) {
    task.add([hot.shard]);
    if (await task.granted(hot.shard)) map.activateHotKey(key);
    else await undoSplit(ctx, pair);
  }
  locator.resume(range);
}

/** The key never counted under its own id: the server must not keep it. */
async function undoSplit(ctx: HandoverContext, pair: HotPair): Promise<void> {
  const {hot, key} = pair;
  if (ctx.signal.aborted) return;
  const task = hot.server === null ? undefined : ctx.tasks.get(hot.server);
  await task?.release(hot.shard);
  if (ctx.signal.aborted) return;
  forget(ctx, key);
}

function forget({map, recorder}: HandoverContext, key: string): void {
  map.removeHotKey(key);
  recorder.markChanged();
}

/**
 * Makes a hot key part of its hash range again, on the server that has both.
 * Until the server has given up the key's own shard, the range must not move
 * and the table keeps both: the server still believes that it owns the key.
 *
 * @example
 * ```ts
 * await mergeKey(ctx, {key, hot, range});
 * ```
 */
export async function mergeKey(
  ctx: HandoverContext,
  pair: HotPair,
): Promise<void> {
  const {key, hot} = pair;
  const {map, locator, signal} = ctx;
  const task = hot.server === null ? undefined : ctx.tasks.get(hot.server);
  if (task === undefined) return;
  if (!(await quiesce(ctx, hot, task, false))) return;
  // Given up before the key counts as its range's: with the shard the server
  // stops whatever runs for the key.
  await task.release(hot.shard);
  if (signal.aborted) return;
  map.deactivateHotKey(key);
  locator.retire(hot);
  forget(ctx, key);
}
