/**
 * Splits hot keys off into shards of their own, and merges them back. Each
 * change happens on one server: while a key changes from one shard id to the
 * other, requests under either id run on the server that owns the key.
 */
import {type HandoverContext, quiesce} from './handover.js';
import type {TrackedShard} from './shard-table.js';

/** A hot key with its own shard and the hash range that it falls into. */
export interface HotKeySplit {
  readonly key: string;
  readonly hot: TrackedShard;
  readonly range: TrackedShard;
}

/**
 * Makes a key a shard of its own, on the server that owns its hash range.
 * Before the new shard may move, no request for the key may be in flight under
 * the range's id: the old server would run it concurrently with the new owner.
 * So dispatch of the range stops and its requests in flight finish before the
 * key is used under its own shard id.
 *
 * @example
 * ```ts
 * await splitKey(ctx, {key, hot: map.addHot(key), range});
 * ```
 */
export async function splitKey(
  ctx: HandoverContext,
  hotKeySplit: HotKeySplit,
): Promise<void> {
  const {key, hot, range} = hotKeySplit;
  const {map, recorder, locator} = ctx;
  const task = range.server === null ? undefined : ctx.tasks.get(range.server);
  if (task === undefined) return map.removeHotKey(key);
  // Set before anything is awaited, because any change of the table records
  // this entry too. A successor that found the entry free would grant the key
  // to another server while requests for it still run under the range's id.
  hot.state = 'held';
  hot.server = range.server;
  hot.reason = 'split off as a hot key';
  recorder.markChanged();
  // Dispatch stops before the server is granted the shard. Otherwise undoing
  // the split would stop requests that run for the key.
  if (!(await quiesce(ctx, range, task, false))) return removeHotKey(ctx, key);
  if (await recorder.commit()) {
    task.add([hot.shard]);
    if (await task.waitUntilGranted(hot.shard)) map.activateHotKey(key);
    else await undoSplit(ctx, hotKeySplit);
  }
  locator.resume(range);
}

/** Releases the key's shard, which no request has used, and removes it. */
async function undoSplit(
  ctx: HandoverContext,
  hotKeySplit: HotKeySplit,
): Promise<void> {
  const {hot, key} = hotKeySplit;
  if (ctx.signal.aborted) return;
  const task = hot.server === null ? undefined : ctx.tasks.get(hot.server);
  await task?.release(hot.shard);
  if (ctx.signal.aborted) return;
  removeHotKey(ctx, key);
}

function removeHotKey({map, recorder}: HandoverContext, key: string): void {
  map.removeHotKey(key);
  recorder.markChanged();
}

/**
 * Merges a hot key back into its hash range, on the server that owns both.
 * Until the server has released the key's own shard, the range must not move
 * and the table keeps both: the server's lease still covers the key.
 *
 * @example
 * ```ts
 * await mergeKey(ctx, {key, hot, range});
 * ```
 */
export async function mergeKey(
  ctx: HandoverContext,
  hotKeySplit: HotKeySplit,
): Promise<void> {
  const {key, hot} = hotKeySplit;
  const {map, locator, signal} = ctx;
  const task = hot.server === null ? undefined : ctx.tasks.get(hot.server);
  if (task === undefined) return;
  if (!(await quiesce(ctx, hot, task, false))) return;
  // Released before the key is dispatched under its range's id again: on the
  // release, the server stops whatever runs for the key.
  await task.release(hot.shard);
  if (signal.aborted) return;
  map.deactivateHotKey(key);
  locator.retire(hot);
  removeHotKey(ctx, key);
}
