import type {Clock} from '@banyandrum/base/clock.js';
import {isCold, type Backend} from './backend.js';
import type {Backends} from './backends.js';
import type {Emit} from './events.js';
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
  /** Number of servers that count as cold. */
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
  /** How long a server of the service is cold after its start, in ms. */
  coldMsOf(service: string): number;
  /**
   * Monotonic time as of which it is known whether the server is cold, in ms.
   */
  knownAt(server: string): number;
  readonly emit: Emit;
  /** Returns a number from 0 to 1, exclusive of 1. */
  readonly random?: () => number;
}

/** A server that got a request within this time counts as used, in ms. */
const RECENT_MS = 1_000;

/** Rate control of one cold server. */
interface ColdServer {
  readonly bucket: TokenBucket;
  readonly share: RateShare;
  /** Requests per second that it bears from all routers together. */
  perSecond: number;
  /** Whether it is limited although its cold time should have ended. */
  isHeld: boolean;
}

/**
 * Creates the limits. They answer the load of servers that start, or whose data
 * centre returns, under full traffic: a server without caches crashes under what
 * it bears when warm. The leader issues tokens for the whole rate; without one,
 * each router has a share. Requests that a server got before it was known as cold
 * have taken their tokens, at most those of a second.
 *
 * The limit outlasts the end of a cold time until it is known as of that end that
 * the server is warm: it may have become cold again while the list was not read.
 * Without any news, it ends when such a cold time would have ended as well.
 *
 * @example
 * ```ts
 * const limits = createColdLimits({clock, backends, coldPerSecondOf, ...rest});
 * if (limits.hasToken(server)) limits.takeToken(server);
 * ```
 */
export function createColdLimits(cfg: ColdLimitsConfig): ColdLimits {
  const {clock, backends, random = Math.random} = cfg;
  const coldServers = new Map<string, ColdServer>();

  const isHeld = ({info, coldUntil}: Backend, now: number): boolean =>
    now < coldUntil + cfg.coldMsOf(info.service) &&
    cfg.knownAt(info.id) < coldUntil;

  const isLimited = (backend: Backend, now: number): boolean =>
    backend.coldUntil > 0 && (isCold(backend, now) || isHeld(backend, now));

  const limitOf = (backend: Backend | undefined): number | null => {
    if (backend === undefined || !isLimited(backend, clock.now())) return null;
    return cfg.coldPerSecondOf(backend.info.service);
  };

  const create = (backend: Backend, perSecond: number): ColdServer => {
    for (const id of coldServers.keys()) {
      if (limitOf(backends.get(id)) === null) coldServers.delete(id);
    }
    const now = clock.now();
    const isInUse = now - backend.lastRequestAt < RECENT_MS;
    const taken = isInUse
      ? perSecond
      : Math.min(backend.allocatedSlots, perSecond);
    const bucket = createTokenBucket(perSecond, now, taken);
    const share = createRateShare(random);
    const created = {bucket, share, perSecond, isHeld: false};
    coldServers.set(backend.info.id, created);
    return created;
  };

  const noteHeld = (cold: ColdServer, {info, coldUntil}: Backend): void => {
    const now = clock.now();
    const wasHeld = cold.isHeld;
    cold.isHeld = coldUntil <= now;
    if (wasHeld || !cold.isHeld) return;
    const knownAgeMs = Math.round(now - cfg.knownAt(info.id));
    cfg.emit('server-held-cold', {server: info.id, knownAgeMs});
  };

  const noteRequest = (server: string): void => {
    const backend = backends.get(server);
    if (backend !== undefined) backend.lastRequestAt = clock.now();
  };

  /** The state of the server if it is cold and has a limit; else null. */
  const coldServerOf = (server: string): ColdServer | null => {
    const backend = backends.get(server);
    const perSecond = limitOf(backend);
    if (backend === undefined || perSecond === null) {
      // A later cold time must count the requests that it is at by then.
      coldServers.delete(server);
      return null;
    }
    const cold = coldServers.get(server) ?? create(backend, perSecond);
    cold.perSecond = perSecond;
    noteHeld(cold, backend);
    return cold;
  };

  const takeShare = (server: string, routerCount: number): boolean => {
    const cold = coldServerOf(server);
    if (cold === null) return true;
    const rate = cold.perSecond * LEADERLESS_SHARE;
    return cold.share.take(clock.now(), (1_000 * routerCount) / rate);
  };

  return {
    limitOf: server => limitOf(backends.get(server)),
    hasToken: server =>
      coldServerOf(server)?.bucket.hasToken(clock.now()) ?? true,
    takeToken(server) {
      coldServerOf(server)?.bucket.take(clock.now());
      noteRequest(server);
    },
    takeShareToken(server, routerCount) {
      if (!takeShare(server, routerCount)) return false;
      noteRequest(server);
      return true;
    },
    count() {
      const now = clock.now();
      return [...backends.all()].filter(each => isLimited(each, now)).length;
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
