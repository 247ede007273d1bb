import type {Backends} from '@banyandrum/dispatch/backends.js';

/** Server id, number of requests, and the sum of their service times in ms. */
export type ServerTimeTotals = readonly [string, number, number];

/** Service times of servers, as measured by all routers. */
export interface ServiceTimes {
  add(times: readonly ServerTimeTotals[]): void;
  /**
   * Smoothed service time of one request, in ms. With few measurements it is
   * close to `fallbackMs`; with 3 requests, both weigh the same.
   */
  estimateMs(server: string, fallbackMs: number): number;
}

/** Maximum weight of the earlier measurements, in requests. */
const MAX_WEIGHT = 12;

/** Keeps a smoothed service time for each server. */
export function createServiceTimes(): ServiceTimes {
  const estimates = new Map<string, {weight: number; ms: number}>();
  return {
    add(times) {
      for (const [server, count, totalMs] of times) {
        const last = estimates.get(server) ?? {weight: 0, ms: 0};
        const weight = Math.min(MAX_WEIGHT, last.weight) + count;
        const ms =
          (last.ms * Math.min(MAX_WEIGHT, last.weight) + totalMs) / weight;
        estimates.set(server, {weight, ms});
      }
    },
    estimateMs(server, fallbackMs) {
      const time = estimates.get(server);
      if (time === undefined) return fallbackMs;
      const confidence = time.weight / (time.weight + 3);
      return time.ms * confidence + fallbackMs * (1 - confidence);
    },
  };
}

/** Returns and resets what this router measured since the last call. */
export function drainServiceTimes(
  backends: Backends,
  services: Iterable<string>,
): readonly ServerTimeTotals[] {
  const times: ServerTimeTotals[] = [];
  for (const service of services) {
    for (const backend of backends.ofService(service)) {
      const {count, totalMs} = backend.unreportedServiceTimes;
      if (count === 0) continue;
      times.push([backend.info.id, count, Math.round(totalMs)]);
      backend.unreportedServiceTimes = {count: 0, totalMs: 0};
    }
  }
  return times;
}
