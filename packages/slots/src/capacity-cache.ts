import type {Clock} from '@banyandrum/base/clock.js';
import {
  isEligible,
  isUnproven,
  type Backend,
} from '@banyandrum/dispatch/backend.js';
import type {Backends} from '@banyandrum/dispatch/backends.js';
import {typicalServiceMs} from '@banyandrum/dispatch/server-cost.js';
import type {ServerLimits} from '@banyandrum/dispatch/server-limits.js';
import {meanMsAt, type TimeSource} from './request-time.js';

/** Combined capacity of a service's servers, or of one server. */
export interface Capacity {
  /** Slots of the servers that may be chosen, reduced by request limits. */
  readonly slots: number;
  /** Whether a limit reduces the usable slots. */
  readonly isLimited: boolean;
  /** Service time of a request, in ms. */
  readonly serviceMs: number;
}

/** Cached capacity of each service. */
export interface CapacityCache {
  of(service: string): Capacity;
  /** Drops all entries, as the servers have changed. */
  invalidate(): void;
}

/** Dependencies of `createCapacityCache`. */
export interface CapacityCacheConfig extends TimeSource {
  readonly backends: Backends;
  readonly clock: Clock;
  readonly limits: Pick<ServerLimits, 'limitOf'>;
}

/**
 * Cached sums expire after this time, in ms. Computing them for each request
 * cost the leader more than all its other work on the request.
 */
const CACHE_TTL_MS = 20;

/**
 * Creates the cache.
 *
 * @example
 * ```ts
 * const capacities = createCapacityCache({backends, clock, limits});
 * const {serviceMs} = capacities.of('holds');
 * ```
 */
export function createCapacityCache(cfg: CapacityCacheConfig): CapacityCache {
  const {backends, clock} = cfg;
  const cached = new Map<string, Capacity & {readonly at: number}>();

  const computeCapacity = (service: string): Capacity => {
    const group = backends.ofService(service);
    const serviceMs = meanMsAt(cfg, service) ?? typicalServiceMs(group);
    let slots = 0;
    let isLimited = false;
    for (const backend of group) {
      if (!isEligible(backend) || isUnproven(backend)) continue;
      const own = capacityOf(cfg, backend, serviceMs);
      slots += own.slots;
      isLimited ||= own.isLimited;
    }
    return {slots, serviceMs, isLimited};
  };

  return {
    of(service) {
      const now = clock.now();
      const last = cached.get(service);
      if (last !== undefined && now - last.at < CACHE_TTL_MS) return last;
      const next = {...computeCapacity(service), at: now};
      cached.set(service, next);
      return next;
    },
    invalidate: () => cached.clear(),
  };
}

/**
 * Capacity of one server; `typicalMs` is used if it has no measured service
 * time.
 */
export function capacityOf(
  cfg: Pick<CapacityCacheConfig, 'limits' | 'times'>,
  {info, serviceMs: measuredMs}: Backend,
  typicalMs: number,
): Capacity {
  const {limits} = cfg;
  const usualMs = meanMsAt(cfg, info.service, info.id);
  const serviceMs = usualMs ?? (measuredMs || typicalMs);
  const perSecond = limits.limitOf(info.id);
  if (perSecond === null) {
    return {slots: info.slots, serviceMs, isLimited: false};
  }
  const usableSlots = (perSecond * serviceMs) / 1_000;
  const isLimited = usableSlots < info.slots;
  return {slots: Math.min(info.slots, usableSlots), serviceMs, isLimited};
}
