import type {Clock} from '@banyandrum/base/clock.js';
import {isCold, type Backend} from './backend.js';
import type {Backends} from './backends.js';
import {createRateShare, type RateShare} from './rate-share.js';
import {LEADERLESS_SHARE, type ServerLimits} from './server-limits.js';
import {createTokenBucket, type TokenBucket} from './token-bucket.js';

/** Limits on the requests that servers get, whatever the reason for them. */
export type RequestLimits = Pick<
  ServerLimits,
  'limitOf' | 'hasToken' | 'takeToken' | 'takeShareToken'
>;

/** Limits on requests to cold servers. */
export interface ColdLimits extends RequestLimits {
  /** Number of cold servers. */
  count(): number;
}

/** Dependencies of `createColdLimits`. */
export interface ColdLimitsConfig {
  readonly clock: Clock;
  readonly backends: Pick<Backends, 'get' | 'all'>;
  /**
   * Requests per second that a cold server of the service bears from all
   * routers together; null if that is unknown.
   */
  coldPerSecondOf(service: string): number | null;
  /** Returns a number from 0 to 1, exclusive of 1. */
  readonly random?: () => number;
}

/** Rate control of one cold server. */
interface ColdServer {
  readonly bucket: TokenBucket;
  readonly share: RateShare;
  /** Requests per second that it bears from all routers together. */
  perSecond: number;
  /** Monotonic time until which it is cold, in ms. */
  until: number;
}

/**
 * Creates the limits. They answer the load of servers that start, or whose data
 * centre returns, under full traffic: a server without caches crashes under what
 * it bears when warm. The leader issues tokens for the whole rate; without one,
 * each router has a share. Requests at a server that turns cold again have taken
 * their tokens, at most those of a second.
 *
 * @example
 * ```ts
 * const limits = createColdLimits({clock, backends, coldPerSecondOf});
 * if (limits.hasToken(server)) limits.takeToken(server);
 * ```
 */
export function createColdLimits({
  clock,
  backends,
  coldPerSecondOf,
  random = Math.random,
}: ColdLimitsConfig): ColdLimits {
  const coldServers = new Map<string, ColdServer>();
  /** The last time that was read: few servers are cold after it. */
  let readAt = -Infinity;

  const isColdNow = (backend: Backend): boolean => {
    if (!isCold(backend, readAt)) return false;
    readAt = clock.now();
    return isCold(backend, readAt);
  };

  const dropWarm = (now: number): void => {
    for (const [id, {until}] of coldServers) {
      if (until <= now) coldServers.delete(id);
    }
  };

  const limitOf = (server: string): number | null => {
    const backend = backends.get(server);
    if (backend === undefined || !isColdNow(backend)) return null;
    return coldPerSecondOf(backend.info.service);
  };

  /** The state of the server if it is cold and has a limit; else null. */
  const coldServerOf = (server: string): ColdServer | null => {
    const perSecond = limitOf(server);
    if (perSecond === null) return null;
    const now = clock.now();
    const until = backends.get(server)!.coldUntil;
    const known = coldServers.get(server);
    if (known !== undefined) return Object.assign(known, {perSecond, until});
    dropWarm(now);
    const taken = Math.min(backends.get(server)!.allocatedSlots, perSecond);
    const bucket = createTokenBucket(perSecond, now, taken);
    const share = createRateShare(random);
    const created = {bucket, share, perSecond, until};
    coldServers.set(server, created);
    return created;
  };

  return {
    limitOf,
    hasToken: server =>
      coldServerOf(server)?.bucket.hasToken(clock.now()) ?? true,
    takeToken: server => coldServerOf(server)?.bucket.take(clock.now()),
    takeShareToken(server, routerCount) {
      const cold = coldServerOf(server);
      if (cold === null) return true;
      const rate = cold.perSecond * LEADERLESS_SHARE;
      return cold.share.take(clock.now(), (1_000 * routerCount) / rate);
    },
    count() {
      const now = clock.now();
      return [...backends.all()].filter(each => isCold(each, now)).length;
    },
  };
}

/** Combines two kinds of limits: a request needs a token of both. */
export function combineLimits(
  a: RequestLimits,
  b: RequestLimits,
): RequestLimits {
  return {
    limitOf(server) {
      const first = a.limitOf(server);
      const second = b.limitOf(server);
      if (first === null) return second;
      return second === null ? first : Math.min(first, second);
    },
    hasToken: server => a.hasToken(server) && b.hasToken(server),
    takeToken(server) {
      a.takeToken(server);
      b.takeToken(server);
    },
    takeShareToken: (server, routerCount) =>
      a.takeShareToken(server, routerCount) &&
      b.takeShareToken(server, routerCount),
  };
}
