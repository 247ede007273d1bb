import {sleep} from '@banyandrum/base/clock.js';
import type {Incarnation} from '@banyandrum/base/ids.js';
import type {OwnershipContext} from './context.js';
import {probeLeader} from './standby-watch.js';
import {incarnationKey} from './views.js';

/** Whether new connections to leaders get through, as their standby sees. */
export interface ReachWatch {
  /** Several connections in a row got no answer from this leader. */
  isUnreached(leader: Incarnation): boolean;
  /** Tries one leader again and again, until the signal aborts. */
  run(leader: Incarnation, signal: AbortSignal): Promise<void>;
}

const TRY_MS = 1_000;
const MISSES = 2;

/**
 * Makes the watch. A leader that can reach its standby and its servers, but
 * that nobody can reach, keeps its cells by consent while every request that
 * others pass on to it fails: callers would see `connection-lost` for as long
 * as the path stays cut. So the standby tells it with each consent, and the
 * leader hands over.
 */
export function createReachWatch(ctx: OwnershipContext): ReachWatch {
  const misses = new Map<string, number>();
  return {
    isUnreached: leader => (misses.get(incarnationKey(leader)) ?? 0) >= MISSES,
    async run(leader, signal) {
      const key = incarnationKey(leader);
      while (!signal.aborted) {
        await sleep(ctx.clock, TRY_MS, signal);
        const proof = await probeLeader(ctx, leader);
        if (proof === 'there') misses.delete(key);
        if (proof === 'silent') misses.set(key, (misses.get(key) ?? 0) + 1);
      }
      misses.delete(key);
    },
  };
}
