import type {Clock} from '@banyandrum/base/clock.js';
import type {Backends} from './backends.js';
import {typicalServiceMs} from './server-cost.js';

/** What a service's servers do together. */
export interface Capacity {
  /** Slots of those that don't leave. */
  readonly slots: number;
  /** Time that a request takes once it is at a server, in ms. */
  readonly serviceMs: number;
}

/** What all servers of each service do together. */
export interface Capacities {
  of(service: string): Capacity;
  /** The servers changed. */
  forget(): void;
}

/**
 * Sums over all servers are made anew after this time, in ms: made for each
 * request they cost the router that hands out places more than the rest of it.
 */
const FRESH_MS = 20;

/**
 * Keeps the sums.
 *
 * @example
 * ```ts
 * const capacities = createCapacities(backends, clock);
 * const {serviceMs} = capacities.of('holds');
 * ```
 */
export function createCapacities(backends: Backends, clock: Clock): Capacities {
  const known = new Map<string, Capacity & {readonly at: number}>();

  const sumUp = (service: string): Capacity => {
    const group = backends.ofService(service);
    let slots = 0;
    for (const {info} of group) slots += info.isLeaving ? 0 : info.slots;
    return {slots, serviceMs: typicalServiceMs(group)};
  };

  return {
    of(service) {
      const now = clock.now();
      const last = known.get(service);
      if (last !== undefined && now - last.at < FRESH_MS) return last;
      const next = {...sumUp(service), at: now};
      known.set(service, next);
      return next;
    },
    forget: () => known.clear(),
  };
}
