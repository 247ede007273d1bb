import {sleep} from '@banyandrum/base/clock.js';
import type {Incarnation} from '@banyandrum/base/ids.js';
import type {OwnershipContext} from './context.js';
import {probeLeader} from './standby-watch.js';
import {incarnationKey} from './views.js';

/** Whether new connections from a standby to its leaders succeed. */
export interface ReachabilityMonitor {
  /** Whether several consecutive connections got no answer from the leader. */
  isUnreachable(leader: Incarnation): boolean;
  /** Probes one leader periodically until the signal aborts. */
  run(leader: Incarnation, signal: AbortSignal): Promise<void>;
}

const PROBE_INTERVAL_MS = 1_000;
const UNREACHABLE_AFTER_FAILURES = 2;

/**
 * Creates the monitor. A leader that can open connections to its standby and
 * its servers, but to which no other router can open one, keeps its cells
 * through the standby's consent, while every request that other routers
 * forward to it fails: callers would get `connection-lost` for as long as the
 * fault lasts. So the standby reports the failed probes with each consent, and
 * the leader hands its cells over.
 */
export function createReachabilityMonitor(
  ctx: OwnershipContext,
): ReachabilityMonitor {
  const failures = new Map<string, number>();
  return {
    isUnreachable: leader =>
      (failures.get(incarnationKey(leader)) ?? 0) >= UNREACHABLE_AFTER_FAILURES,
    async run(leader, signal) {
      const key = incarnationKey(leader);
      while (!signal.aborted) {
        await sleep(ctx.clock, PROBE_INTERVAL_MS, signal);
        const result = await probeLeader(ctx, leader);
        if (result === 'there') failures.delete(key);
        if (result === 'silent')
          failures.set(key, (failures.get(key) ?? 0) + 1);
      }
      failures.delete(key);
    },
  };
}
