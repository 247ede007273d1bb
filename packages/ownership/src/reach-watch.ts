import {sleep} from '@banyandrum/base/clock.js';
import type {Incarnation} from '@banyandrum/base/ids.js';
import type {OwnershipContext} from './context.js';
import {examineLeader} from './standby-watch.js';
import {incarnationKey} from './views.js';

/** Whether new connections to leaders get through, as their standby sees. */
export interface ReachabilityMonitor {
  /** Several connections in a row got no answer from this leader. */
  isUnreachable(leader: Incarnation): boolean;
  /** Tries one leader again and again, until the signal aborts. */
  run(leader: Incarnation, signal: AbortSignal): Promise<void>;
}

const PROBE_INTERVAL_MS = 1_000;
const UNREACHABLE_AFTER_FAILURES = 2;

/**
 * Makes the watch. A leader that can reach its standby and its servers, but
 * that nobody can reach, keeps its cells by consent while every request that
 * others pass on to it fails: callers would see `connection-lost` for as long
 * as the path stays cut. So the standby tells it with each consent, and the
 * leader hands over.
 */
export function createReachabilityMonitor(
  ctx: OwnershipContext,
): ReachabilityMonitor {
  const misses = new Map<string, number>();
  return {
    isUnreachable: leader =>
      (misses.get(incarnationKey(leader)) ?? 0) >= UNREACHABLE_AFTER_FAILURES,
    async run(leader, signal) {
      const key = incarnationKey(leader);
      while (!signal.aborted) {
        await sleep(ctx.clock, PROBE_INTERVAL_MS, signal);
        const proof = await examineLeader(ctx, leader);
        if (proof === 'there') misses.delete(key);
        if (proof === 'silent') misses.set(key, (misses.get(key) ?? 0) + 1);
      }
      misses.delete(key);
    },
  };
}
