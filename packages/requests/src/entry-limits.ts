import {failure, type Failure} from '@banyandrum/base/failure.js';
import type {ServiceRequest} from '@banyandrum/base/request.js';
import type {Rules} from '@banyandrum/config/rules.js';
import {bodySize} from './body-size.js';
import {overloaded} from './refusals.js';

/** Maximum of concurrent requests in one entry process. */
export interface EntryCapacity {
  readonly requests: number;
  /** Bytes of bodies; a streamed body counts as its window. */
  readonly bytes: number;
}

/** Limits the concurrent requests of this process. */
export interface EntryLimits {
  /** Admits the request, or returns why not. */
  enter(req: ServiceRequest): Failure | null;
  /** Called when an admitted request has ended. */
  leave(req: ServiceRequest): void;
}

export const DEFAULT_CAPACITY: EntryCapacity = {
  requests: 8192,
  bytes: 128 * 1024 * 1024,
};

/** Fraction of the capacity that the lowest level of precedence may use. */
const LOWEST_SHARE = 0.5;

const FULL_RETRY_MS = 200;

/**
 * Creates the limits of one entry process. Lower levels may use less of the
 * capacity, so that waiting reports don't keep the process from admitting holds.
 *
 * @example
 * ```ts
 * const refusal = limits.enter(req);
 * if (refusal !== null) return Err(refusal);
 * ```
 */
export function createEntryLimits(
  capacity: EntryCapacity,
  rules: () => Pick<Rules, 'limits' | 'precedence'>,
): EntryLimits {
  let requests = 0;
  let bytes = 0;
  return {
    enter(req) {
      const size = bodySize(req.body);
      if (isTooLarge(req, rules().limits.maxBodyBytes)) return tooLarge(size);
      const share = shareOf(req.precedence, rules().precedence.length);
      const fits = bytes + size <= capacity.bytes * share;
      if (!fits || requests >= capacity.requests * share) {
        return overloaded('too many requests under way', FULL_RETRY_MS);
      }
      requests++;
      bytes += size;
      return null;
    },
    leave(req) {
      requests--;
      bytes -= bodySize(req.body);
    },
  };
}

/** The size of a streamed body is checked as it arrives. */
function isTooLarge({body}: ServiceRequest, maxBytes: number): boolean {
  return body instanceof Uint8Array && body.length > maxBytes;
}

function shareOf(level: number, levels: number): number {
  if (levels < 2) return 1;
  const depth = Math.min(1, level / (levels - 1));
  return 1 - depth * (1 - LOWEST_SHARE);
}

function tooLarge(size: number): Failure {
  const detail = `the body of ${size} bytes is larger than the rules allow`;
  return failure('not-run', 'too-large', detail);
}
