import {failure, type Failure} from '@banyandrum/base/failure.js';

/** Typical time until a moving or recovering shard is served again, in ms. */
export const SETTLING_RETRY_MS = 500;

const MOVED_RETRY_MS = 100;
const NO_OWNER_RETRY_MS = 1000;
const MIN_OVERLOAD_RETRY_MS = 20;
const MAX_OVERLOAD_RETRY_MS = 30_000;

/** This process doesn't lead the cell, or no longer. */
export function moved(detail: string): Failure {
  return failure('not-run', 'moved', detail, MOVED_RETRY_MS);
}

export function cancelled(): Failure {
  return failure('not-run', 'cancelled', 'the caller gave up');
}

/** There was no time left when its turn came; `waitMs` is the present wait. */
export function expired(waitMs: number): Failure {
  const detail = 'its turn did not come in time';
  return failure('not-run', 'deadline', detail, overloadRetryMs(waitMs));
}

export function noOwner(reason: string): Failure {
  return failure('not-run', 'no-owner', reason, NO_OWNER_RETRY_MS);
}

/**
 * The shard is moving and too many requests wait for it. Not `overloaded`, which
 * would make the entries throttle the cell for seconds after the move.
 */
export function tooManyWait(): Failure {
  const detail = 'its shard is moving and too many wait for it';
  return failure('not-run', 'no-owner', detail, SETTLING_RETRY_MS);
}

/** Refused on arrival; the present queue takes `waitMs`. */
export function overloaded(detail: string, waitMs: number): Failure {
  return failure('not-run', 'overloaded', detail, overloadRetryMs(waitMs));
}

export function unknownService(service: string): Failure {
  return failure('not-run', 'unknown-service', `no service ${service}`);
}

function overloadRetryMs(waitMs: number): number {
  const bounded = Math.min(MAX_OVERLOAD_RETRY_MS, waitMs);
  return Math.round(Math.max(MIN_OVERLOAD_RETRY_MS, bounded));
}
