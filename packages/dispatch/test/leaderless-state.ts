import {createCanceller} from '@banyandrum/base/cancel.js';
import type {Clock} from '@banyandrum/base/clock.js';
import type {Backends} from '@banyandrum/dispatch/backends.js';
import type {
  ForwardConfig,
  ForwardState,
} from '@banyandrum/dispatch/forward-state.js';
import {openPaths} from './open-paths.js';
import {NAMES} from './raw-server.js';

/** A request of a router without a leader. */
export interface LeaderlessRequest {
  readonly service: string;
  readonly key: number | null;
  readonly targetLatencyMs: number;
  /** Time until its deadline, in ms. */
  readonly timeLeftMs: number;
}

/** Servers that the router chooses from; the rest has defaults. */
export type LeaderlessConfig = Partial<ForwardConfig> & {
  readonly backends: Backends;
  readonly clock: Clock;
};

/** The state of a request that has not been attempted yet. */
export function createLeaderlessState(
  cfg: LeaderlessConfig,
  {service, key, targetLatencyMs, timeLeftMs}: LeaderlessRequest,
): ForwardState {
  const now = cfg.clock.now();
  return {
    cfg: {
      ...{names: NAMES, dataCentre: 'a', emit: () => undefined},
      routers: {current: () => 4, ageMs: () => 0},
      slotProvider: {acquire: async () => ({kind: 'unavailable'})},
      quarantine: {standingOf: () => 'unknown'},
      requestLimits: {takeShareToken: () => true},
      rests: {remainingMs: () => 0, count: () => 0},
      leaderlessRetryMs: () => 300,
      ...openPaths(cfg.clock),
      ...cfg,
    },
    req: {
      ...{id: 'r1', service, key, firstAskedAt: now},
      ...{deadline: now + timeLeftMs, sendSignal: createCanceller().signal},
      route: {
        ...{targetLatencyMs, priority: 1, kind: 'idempotent'},
        homeRegions: null,
      },
    },
    excluded: new Set<string>(),
  } as unknown as ForwardState;
}
