/**
 * Hot keys as shards of their own. Both changes happen on one server: while
 * a key goes from one shard id to the other, a request under either id runs
 * where the key is owned.
 */
import {untilAborted} from './condition.js';
import type {HandoverContext} from './handover.js';
import type {Slot} from './shard-table.js';

/** A hot key's slot and that of the hash range that it falls into. */
export interface HotPair {
  readonly key: string;
  readonly hot: Slot;
  readonly range: Slot;
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
  const {map, recorder, locator, signal} = ctx;
  const task = range.server === null ? undefined : ctx.tasks.get(range.server);
  if (task === undefined) return map.removeHot(key);
  hot.state = 'held';
  hot.server = range.server;
  hot.reason = 'split off as a hot key';
  recorder.touch();
  if (!(await recorder.commit())) return;
  task.add([hot.shard]);
  if (!(await task.granted(hot.shard))) return undoSplit(ctx, pair);
  await untilAborted(locator.pause(range), signal);
  if (signal.aborted) return;
  map.expose(key);
  locator.resume(range);
}

/** The server doesn't answer: the key never counted under its own id. */
async function undoSplit(ctx: HandoverContext, pair: HotPair): Promise<void> {
  const {hot, key} = pair;
  const task = hot.server === null ? undefined : ctx.tasks.get(hot.server);
  await task?.release(hot.shard);
  if (ctx.signal.aborted) return;
  ctx.map.removeHot(key);
  ctx.recorder.touch();
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
  const {map, recorder, locator, signal} = ctx;
  const task = hot.server === null ? undefined : ctx.tasks.get(hot.server);
  if (task === undefined) return;
  await untilAborted(locator.pause(hot), signal);
  if (signal.aborted) return;
  map.conceal(key);
  locator.dissolve(hot);
  await task.release(hot.shard);
  if (signal.aborted) return;
  map.removeHot(key);
  recorder.touch();
}
