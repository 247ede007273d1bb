import type {Clock} from '@banyandrum/base/clock.js';
import {sleep} from '@banyandrum/base/clock.js';
import {rangeOf} from '@banyandrum/base/hash.js';
import type {CellId, Fence, ShardId} from '@banyandrum/base/ids.js';
import type {Authority} from './authority.js';
import {untilAborted} from './condition.js';
import type {ShardEntry, ShardState, ShardTable} from './table.js';

/** One shard with the state that its leader keeps. */
export interface TrackedShard {
  readonly shard: ShardId;
  state: ShardState;
  server: string | null;
  next: string | null;
  /** Whether dispatch is paused because the shard moves, splits or merges. */
  isPaused: boolean;
  /** Whether no server can take it at present. */
  isUnplaceable: boolean;
  /** Whether a handover, grant, split or merge of it is in progress. */
  isChanging: boolean;
  /** Optional moves, splits and merges are postponed until this time. */
  postponedUntil: number;
  /** Monotonic time of its last move. */
  movedAt: number;
  /** Reason for its latest change of server, shown to operators. */
  reason: string;
  /** Resolves when the shard can be served; null if nothing waits for that. */
  settled: Deferred | null;
}

/** A promise with its resolve function. */
export interface Deferred {
  readonly promise: Promise<void>;
  readonly resolve: () => void;
}

export interface ShardMapOptions {
  readonly service: string;
  readonly shards: number;
  readonly cells: number;
  /** This cell's index within the service. */
  readonly index: number;
}

/** All shards of a cell: hash ranges, and hot keys that were split off. */
export interface ShardMap {
  /** Returns the shard of a key, or null if the key belongs to another cell. */
  find(key: string): TrackedShard | null;
  get(shard: ShardId): TrackedShard | undefined;
  /** Returns the hash range of a key, even if the key has its own shard. */
  findRange(key: string): TrackedShard | null;
  all(): Iterable<TrackedShard>;
  size(): number;
  /** Hot keys with a shard of their own, active or not yet. */
  hotKeys(): Iterable<string>;
  /** Adds a shard for a hot key; `find` returns it after `activateHotKey`. */
  addHotKey(key: string): TrackedShard;
  activateHotKey(key: string): void;
  /** Makes `find` return the key's hash range again. */
  deactivateHotKey(key: string): void;
  /** Removes a hot key's shard. */
  removeHotKey(key: string): void;
}

const HOT_PREFIX = 'k:';

/** Returns the id of the shard that holds only this hot key. */
export function hotShardOf(key: string): ShardId {
  return `${HOT_PREFIX}${key}`;
}

/** Returns the key of a hot key's shard, or null for a hash range. */
export function hotKeyOf(shard: ShardId): string | null {
  return shard.startsWith(HOT_PREFIX) ? shard.slice(HOT_PREFIX.length) : null;
}

/**
 * Creates the map of one cell's shards. A lookup takes one hash, and one more
 * map access while the cell has hot keys.
 *
 * @example
 * ```ts
 * const map = createShardMap({service, shards: 64, cells: 2, index: 0});
 * map.find('ward-7')?.server;
 * ```
 */
export function createShardMap(options: ShardMapOptions): ShardMap {
  const {shards, cells, index} = options;
  const first = Math.ceil((index * shards) / cells);
  const end = Math.ceil(((index + 1) * shards) / cells);
  const ranges: TrackedShard[] = [];
  for (let range = first; range < end; range++) {
    ranges.push(createTrackedShard(String(range)));
  }
  const activeHotShards = new Map<string, TrackedShard>();
  const hotShards = new Map<string, TrackedShard>();
  const byId = new Map(ranges.map(tracked => [tracked.shard, tracked]));

  const findRange = (key: string): TrackedShard | null =>
    ranges[rangeOf(key, shards) - first] ?? null;

  return {
    find(key) {
      const tracked =
        activeHotShards.size === 0 ? undefined : activeHotShards.get(key);
      return tracked ?? findRange(key);
    },
    get: shard => byId.get(shard),
    findRange,
    all: () => byId.values(),
    size: () => byId.size,
    hotKeys: () => hotShards.keys(),
    addHotKey(key) {
      const tracked = createTrackedShard(hotShardOf(key));
      byId.set(tracked.shard, tracked);
      hotShards.set(key, tracked);
      return tracked;
    },
    activateHotKey(key) {
      const tracked = hotShards.get(key);
      if (tracked !== undefined) activeHotShards.set(key, tracked);
    },
    deactivateHotKey: key => void activeHotShards.delete(key),
    removeHotKey(key) {
      activeHotShards.delete(key);
      hotShards.delete(key);
      byId.delete(hotShardOf(key));
    },
  };
}

/** Records each change of the table at the standby before it takes effect. */
export interface TableRecorder {
  /** Marks the table as changed since the last record. */
  markChanged(): void;
  /**
   * Resolves to true once every change made so far is recorded; retries on
   * failure. Resolves to false only if the signal aborts.
   */
  commit(): Promise<boolean>;
  /** The whole table as it is now. */
  snapshot(): ShardTable;
}

export interface TableRecorderOptions {
  readonly map: ShardMap;
  readonly authority: Authority;
  readonly clock: Clock;
  readonly signal: AbortSignal;
  readonly fences: () => ReadonlyMap<string, Fence>;
  readonly addresses: () => ReadonlyMap<string, string>;
  /** Version of the first table; later versions count up from it. */
  readonly version: number;
}

const RECORD_RETRY_DELAY_MS = 50;

/**
 * Creates the recorder of one cell's table. Changes made while a record is in
 * progress are combined into the next one.
 *
 * @example
 * ```ts
 * tracked.server = 'bed-3';
 * recorder.markChanged();
 * if (await recorder.commit()) task.add([tracked.shard]);
 * ```
 */
export function createTableRecorder(
  options: TableRecorderOptions,
): TableRecorder {
  const {map, authority, clock, signal} = options;
  const cell: CellId = authority.cell;
  let version = options.version;
  let recorded = -1;
  let running: Promise<void> | null = null;

  const snapshot = (): ShardTable => ({
    cell,
    epoch: authority.epoch,
    version,
    entries: Array.from(map.all(), toEntry),
    fences: options.fences(),
    addresses: options.addresses(),
  });

  const recordOnce = async (): Promise<void> => {
    const table = snapshot();
    if (await authority.record(table)) {
      recorded = Math.max(recorded, table.version);
      return;
    }
    await sleep(clock, RECORD_RETRY_DELAY_MS, signal);
  };

  const commit = async (): Promise<boolean> => {
    const wanted = version;
    while (recorded < wanted) {
      if (signal.aborted) return false;
      running ??= recordOnce().finally(() => {
        running = null;
      });
      await untilAborted(running, signal);
    }
    return !signal.aborted;
  };

  return {
    markChanged() {
      version++;
    },
    commit,
    snapshot,
  };
}

/** Creates a promise that can be resolved from outside. */
export function createDeferred(): Deferred {
  let resolve: () => void = () => {};
  const promise = new Promise<void>(done => {
    resolve = done;
  });
  return {promise, resolve};
}

function createTrackedShard(shard: ShardId): TrackedShard {
  return {
    shard,
    state: 'free',
    server: null,
    next: null,
    isPaused: false,
    isUnplaceable: false,
    isChanging: false,
    postponedUntil: -Infinity,
    movedAt: -Infinity,
    reason: 'not assigned yet',
    settled: null,
  };
}

function toEntry(tracked: TrackedShard): ShardEntry {
  const {shard, state, server, next} = tracked;
  return {shard, state, server, next};
}
