import type {Clock} from '@banyandrum/base/clock.js';
import type {ShardId} from '@banyandrum/base/ids.js';
import type {
  HotKey,
  ServerObservation,
  ShardLoad,
} from '@banyandrum/ownership/led-cell.js';
import {
  createDecayingSum,
  type DecayingSum,
} from '@banyandrum/queueing/decaying-sum.js';

/** Measures the hottest keys in bounded memory. */
export interface HotKeyMeter {
  /** Records a request for the key that kept a slot busy for `busyMs`. */
  record(key: string, busyMs: number): void;
  hottest(): readonly HotKey[];
}

/** A dispatch that was answered or failed. */
export interface Served {
  readonly shard: ShardId;
  readonly server: string;
  readonly key: string;
  readonly busyMs: number;
}

/** The leader's measurement of one cell's load. */
export interface LoadMeter {
  arrived(shard: ShardId, now: number): void;
  served(served: Served, now: number): void;
  shed(server: string): void;
  shards(): readonly ShardLoad[];
  /** The measured load of one server. */
  server(name: string): Pick<ServerObservation, 'busy' | 'shed'>;
  hotKeys(): readonly HotKey[];
}

/** Averaging period of loads, in ms. */
export const LOAD_PERIOD_MS = 10_000;

/** Shards below both limits are removed; in requests per second, and slots. */
const MIN_RATE = 0.01;
const MIN_BUSY = 1e-4;

interface ShardSums {
  readonly arrivals: DecayingSum;
  readonly busyMs: DecayingSum;
}

interface ServerSums {
  readonly busyMs: DecayingSum;
  readonly shed: DecayingSum;
}

/**
 * Creates the meter of one cell.
 *
 * @example
 * ```ts
 * const load = createLoadMeter(clock, createHotKeys());
 * load.arrived('12', clock.now());
 * load.shards(); // [{shard: '12', rate: 10, busy: 0}]
 * ```
 */
export function createLoadMeter(
  clock: Clock,
  hotKeys: HotKeyMeter | null,
): LoadMeter {
  const shards = new Map<ShardId, ShardSums>();
  const servers = new Map<string, ServerSums>();
  const sum = (): DecayingSum => createDecayingSum(LOAD_PERIOD_MS, clock.now());

  const shardOf = (shard: ShardId): ShardSums => {
    const known = shards.get(shard);
    if (known !== undefined) return known;
    const sums = {arrivals: sum(), busyMs: sum()};
    shards.set(shard, sums);
    return sums;
  };

  const serverOf = (name: string): ServerSums => {
    const known = servers.get(name);
    if (known !== undefined) return known;
    const sums = {busyMs: sum(), shed: sum()};
    servers.set(name, sums);
    return sums;
  };

  return {
    arrived: (shard, now) => shardOf(shard).arrivals.add(1, now),
    served({shard, server, key, busyMs}, now) {
      shardOf(shard).busyMs.add(busyMs, now);
      serverOf(server).busyMs.add(busyMs, now);
      hotKeys?.record(key, busyMs);
    },
    shed: server => serverOf(server).shed.add(1, clock.now()),
    shards() {
      const now = clock.now();
      const loads: ShardLoad[] = [];
      for (const [shard, sums] of shards) {
        const rate = sums.arrivals.perMs(now) * 1000;
        const busy = sums.busyMs.perMs(now);
        if (rate < MIN_RATE && busy < MIN_BUSY) shards.delete(shard);
        else loads.push({shard, rate, busy});
      }
      return loads;
    },
    server(name) {
      const sums = servers.get(name);
      if (sums === undefined) return {busy: 0, shed: 0};
      const now = clock.now();
      return {busy: sums.busyMs.perMs(now), shed: sums.shed.value(now)};
    },
    hotKeys: () => hotKeys?.hottest() ?? [],
  };
}
