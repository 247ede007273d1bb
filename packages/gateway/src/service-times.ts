import type {Backends} from '@banyandrum/dispatch/backends.js';

/** Server id, number of requests, and their service times added up, in ms. */
export type ServerTimes = readonly [string, number, number];

/** Servers' times as all routers measured them. */
export interface ServiceTimes {
  add(times: readonly ServerTimes[]): void;
  /** Smoothed time for one request, in ms; the fallback where unknown. */
  of(server: string, fallbackMs: number): number;
}

/** Requests that the smoothed time looks back on. */
const MEMORY = 12;

/** Keeps a smoothed service time for each server. */
export function createServiceTimes(): ServiceTimes {
  const known = new Map<string, {weight: number; ms: number}>();
  return {
    add(times) {
      for (const [server, count, totalMs] of times) {
        const before = known.get(server) ?? {weight: 0, ms: 0};
        const weight = Math.min(MEMORY, before.weight) + count;
        const ms =
          (before.ms * Math.min(MEMORY, before.weight) + totalMs) / weight;
        known.set(server, {weight, ms});
      }
    },
    of(server, fallbackMs) {
      const time = known.get(server);
      if (time === undefined) return fallbackMs;
      const trust = time.weight / (time.weight + 3);
      return time.ms * trust + fallbackMs * (1 - trust);
    },
  };
}

/** Takes what this router measured since the last call. */
export function drainTimes(
  backends: Backends,
  services: Iterable<string>,
): readonly ServerTimes[] {
  const times: ServerTimes[] = [];
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
