import type {Clock} from '@banyandrum/base/clock.js';
import {sleep} from '@banyandrum/base/clock.js';
import {rangeOf} from '@banyandrum/base/hash.js';
import type {CellId, Fence, ShardId} from '@banyandrum/base/ids.js';
import type {Authority} from './authority.js';
import {untilAborted} from './condition.js';
import type {ShardEntry, ShardState, ShardTable} from './table.js';

/** One shard, as its leader keeps it. */
export interface TrackedShard {
  readonly shard: ShardId;
  state: ShardState;
  server: string | null;
  next: string | null;
  /** Dispatch is stopped: the shard moves, splits or merges. */
  isPaused: boolean;
  /** No server can take it at present. */
  isUnplaceable: boolean;
  /** A handover, grant, split or merge is under way for it. */
  isChanging: boolean;
  /** Until then it is not stopped again for a change that can wait. */
  postponedUntil: number;
  /** Monotonic time of its last move. */
  movedAt: number;
  /** For operators: why it is where it is. */
  reason: string;
  /** Whoever waits until the shard can be served; null where nobody does. */
  settled: Deferred | null;
}

/** A promise that somebody else resolves. */
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

/** The cell's shards: its hash ranges and its hot keys. */
export interface ShardMap {
  /** The slot of a key, or null where the key is another cell's. */
  find(key: string): TrackedShard | null;
  get(shard: ShardId): TrackedShard | undefined;
  /** The hash range that a key falls into, hot or not. */
  findRange(key: string): TrackedShard | null;
  all(): Iterable<TrackedShard>;
  size(): number;
  /** Hot keys that are shards of their own, with those that will be. */
  hotKeys(): Iterable<string>;
  /** Adds a hot key's slot; `find` yields it only after `expose`. */
  addHotKey(key: string): TrackedShard;
  activateHotKey(key: string): void;
  /** From now on `find` yields the key's hash range again. */
  deactivateHotKey(key: string): void;
  /** Forgets a hot key's slot. */
  removeHotKey(key: string): void;
}

const HOT_PREFIX = 'k:';

/** The shard id of a hot key on its own. */
export function hotShardOf(key: string): ShardId {
  return `${HOT_PREFIX}${key}`;
}

/** The key of a hot key's shard, or null for a hash range. */
export function hotKeyOf(shard: ShardId): string | null {
  return shard.startsWith(HOT_PREFIX) ? shard.slice(HOT_PREFIX.length) : null;
}

/**
 * Makes the map of one cell's shards. Looking a key up takes one hash, and
 * one map access more while the cell has hot keys.
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
  const byId = new Map(ranges.map(slot => [slot.shard, slot]));

  const findRange = (key: string): TrackedShard | null =>
    ranges[rangeOf(key, shards) - first] ?? null;

  return {
    find(key) {
      const slot = activeHotShards.size === 0 ? undefined : activeHotShards.get(key);
      return slot ?? findRange(key);
    },
    get: shard => byId.get(shard),
    findRange: findRange,
    all: () => byId.values(),
    size: () => byId.size,
    hotKeys: () => hotShards.keys(),
    addHotKey(key) {
      const slot = createTrackedShard(hotShardOf(key));
      byId.set(slot.shard, slot);
      hotShards.set(key, slot);
      return slot;
    },
    activateHotKey(key) {
      const slot = hotShards.get(key);
      if (slot !== undefined) activeHotShards.set(key, slot);
    },
    deactivateHotKey: key => void activeHotShards.delete(key),
    removeHotKey(key) {
      activeHotShards.delete(key);
      hotShards.delete(key);
      byId.delete(hotShardOf(key));
    },
  };
}

/** Puts each change of the table at the standby before it is carried out. */
export interface TableRecorder {
  /** Notes that the table changed. */
  markChanged(): void;
  /**
   * Resolves to true once every change made so far is recorded; repeats what
   * fails. False only when the signal aborts.
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
  /** The version to go on from. */
  readonly version: number;
}

const RECORD_RETRY_DELAY_MS = 50;

/**
 * Makes the recorder of one cell's table. Changes made while one record is
 * under way share the next one.
 *
 * @example
 * ```ts
 * slot.server = 'bed-3';
 * recorder.touch();
 * if (await recorder.commit()) task.add([slot.shard]);
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

/** Makes a promise that somebody else resolves. */
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
    reason: 'not placed yet',
    settled: null,
  };
}

function toEntry(slot: TrackedShard): ShardEntry {
  const {shard, state, server, next} = slot;
  return {shard, state, server, next};
}
