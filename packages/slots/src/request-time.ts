import type {SlotRequest} from '@banyandrum/dispatch/slots.js';
import {NO_OWNER} from './wait-queue.js';
import {UNKNOWN_KIND} from '@banyandrum/service-times/kind.js';
import {
  ANY_SERVER,
  type TimeModel,
} from '@banyandrum/service-times/time-model.js';

/** What the allocator uses of a model of service times. */
export type TimeEstimates = Pick<
  TimeModel,
  'record' | 'expectedMs' | 'usualMs'
>;

/** Source of the times; `times` is absent if they aren't kept by route. */
export interface TimeSource {
  readonly times?: TimeEstimates;
}

/** Usual time of a request, in ms. */
export interface RequestTime {
  /** At the server that owns its key, if there is one. */
  readonly ownMs: number;
  /** At a server of mean speed. */
  readonly typicalMs: number;
}

/**
 * Returns the usual time of a request of the queue with this owner (see
 * `WaitQueue.owner`). `meanMs` is used for both if nothing better is known.
 */
export function requestTime(
  {times}: TimeSource,
  {service, kind = UNKNOWN_KIND}: SlotRequest,
  owner: string | null,
  meanMs: number,
): RequestTime {
  const typicalMs = times?.usualMs(service, kind, ANY_SERVER) ?? meanMs;
  if (owner === null || owner === NO_OWNER)
    return {ownMs: typicalMs, typicalMs};
  return {ownMs: times?.usualMs(service, kind, owner) ?? meanMs, typicalMs};
}

/** Expected time of the request if it is sent to the server now, in ms. */
export function expectedMsAt(
  {times}: TimeSource,
  {service, kind = UNKNOWN_KIND}: SlotRequest,
  server: string,
): number | null {
  return times?.expectedMs(service, kind, server) ?? null;
}

/**
 * Usual mean time of a service's requests, in ms. The present slowdown is left
 * out, since it usually ends before a queue of several service times is served.
 */
export function meanMsAt(
  {times}: TimeSource,
  service: string,
  server: string = ANY_SERVER,
): number | null {
  return times?.usualMs(service, UNKNOWN_KIND, server) ?? null;
}
