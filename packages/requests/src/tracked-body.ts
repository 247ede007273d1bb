import type {Body, ServiceRequest} from '@banyandrum/base/request.js';

/** A request that tracks whether its body can be sent again. */
export interface TrackedRequest {
  readonly req: ServiceRequest;
  /** Whether no part of the body was read yet. */
  isWhole(): boolean;
}

/**
 * Tracks a request's body: a buffered one can always be sent again, a streamed
 * one only until its first chunk is read.
 *
 * @example
 * ```ts
 * const tracked = trackBody(req);
 * const result = await send(tracked.req);
 * if (result.err && tracked.isWhole()) await send(tracked.req);
 * ```
 */
export function trackBody(req: ServiceRequest): TrackedRequest {
  const body = req.body;
  if (body instanceof Uint8Array) return {req, isWhole: () => true};
  let touched = false;
  const watched: Body = {
    [Symbol.asyncIterator]() {
      touched = true;
      return body[Symbol.asyncIterator]();
    },
  };
  return {req: {...req, body: watched}, isWhole: () => !touched};
}
