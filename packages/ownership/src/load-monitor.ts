import type {Clock} from '@banyandrum/base/clock.js';
import type {CellId, ShardId} from '@banyandrum/base/ids.js';
import {
  type CapacityEstimate,
  createCapacityEstimate,
} from '@banyandrum/placement/capacity.js';
import {createSmoothedLoads} from '@banyandrum/placement/smooth-loads.js';
import type {CellLoad, LoadSource, ServerObservation} from './led-cell.js';

/** Smoothed load of one cell, as its leader observes it. */
export interface LoadMonitor {
  /** Reads the load of a new period; null until the current one is over. */
  read(slotsOf: (server: string) => number | null): CellLoad | null;
  /** Average number of slots that the shard keeps busy. */
  busyOf(shard: ShardId): number;
  /** Slots that the server has been observed to sustain. */
  capacityOf(server: string, slots: number): number;
  /** The server's observation of the last period. */
  lastObservation(server: string): ServerObservation | undefined;
}

const PERIOD_MS = 1000;

/**
 * Creates the load monitor of one cell.
 *
 * @example
 * ```ts
 * const slotsOf = server => tasks.get(server)?.server.slots ?? null;
 * const load = loadMonitor.read(slotsOf);
 * if (load !== null) plan(load);
 * ```
 */
export function createLoadMonitor(
  cell: CellId,
  source: LoadSource,
  clock: Clock,
): LoadMonitor {
  const smoothedLoads = createSmoothedLoads();
  const estimates = new Map<string, CapacityEstimate>();
  const capacities = new Map<string, number>();
  let servers = new Map<string, ServerObservation>();
  let readAt = -Infinity;

  const updateCapacity = (
    observation: ServerObservation,
    slots: number,
    periodMs: number,
  ): void => {
    const {server, busy, shed} = observation;
    const estimate = estimates.get(server) ?? createCapacityEstimate();
    estimates.set(server, estimate);
    capacities.set(server, estimate.update({slots, busy, shed}, periodMs));
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
      smoothedLoads.update(new Map(byShard), periodMs);
      servers = new Map(
        load.servers.map(observation => [observation.server, observation]),
      );
      for (const observation of load.servers) {
        const slots = slotsOf(observation.server);
        if (slots !== null) updateCapacity(observation, slots, periodMs);
      }
      return load;
    },
    busyOf: smoothedLoads.get,
    capacityOf: (server, slots) =>
      Math.min(slots, capacities.get(server) ?? slots),
    lastObservation: server => servers.get(server),
  };
}
