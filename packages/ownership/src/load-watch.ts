import type {Clock} from '@banyandrum/base/clock.js';
import type {CellId, ShardId} from '@banyandrum/base/ids.js';
import {
  type CapacityEstimate,
  createCapacityEstimate,
} from '@banyandrum/placement/capacity.js';
import {createSmoothLoads} from '@banyandrum/placement/smooth-loads.js';
import type {CellLoad, LoadSource, ServerObservation} from './led-cell.js';

/** The load of one cell, by its leader's own observation, smoothed. */
export interface LoadMonitor {
  /** Reads a new period where the last one is over; null where it isn't. */
  read(slotsOf: (server: string) => number | null): CellLoad | null;
  /** Slots that the shard keeps busy. */
  busyOf(shard: ShardId): number;
  /** Slots that the server proved able to keep busy. */
  capacityOf(server: string, slots: number): number;
  /** What was last seen of a server. */
  lastObservation(server: string): ServerObservation | undefined;
}

const PERIOD_MS = 1000;

/**
 * Makes the watch of one cell's load.
 *
 * @example
 * ```ts
 * const load = watch.read(server => tasks.get(server)?.server.slots ?? null);
 * if (load !== null) plan(load);
 * ```
 */
export function createLoadMonitor(
  cell: CellId,
  source: LoadSource,
  clock: Clock,
): LoadMonitor {
  const smooth = createSmoothLoads();
  const estimates = new Map<string, CapacityEstimate>();
  const capacities = new Map<string, number>();
  let servers = new Map<string, ServerObservation>();
  let readAt = -Infinity;

  const noteServer = (
    sight: ServerObservation,
    slots: number,
    periodMs: number,
  ): void => {
    const {server, busy, shed} = sight;
    const estimate = estimates.get(server) ?? createCapacityEstimate();
    estimates.set(server, estimate);
    capacities.set(server, estimate.note({slots, busy, shed}, periodMs));
  };

  return {
    read(slotsOf) {
      const now = clock.now();
      if (now - readAt < PERIOD_MS) return null;
      const periodMs = Number.isFinite(readAt) ? now - readAt : PERIOD_MS;
      readAt = now;
      const load = source.read(cell);
      const byShard = load.shards.map(({shard, busy}): [ShardId, number] => [
        shard,
        busy,
      ]);
      smooth.note(new Map(byShard), periodMs);
      servers = new Map(load.servers.map(sight => [sight.server, sight]));
      for (const sight of load.servers) {
        const slots = slotsOf(sight.server);
        if (slots !== null) noteServer(sight, slots, periodMs);
      }
      return load;
    },
    busyOf: smooth.get,
    capacityOf: (server, slots) =>
      Math.min(slots, capacities.get(server) ?? slots),
    lastObservation: server => servers.get(server),
  };
}
