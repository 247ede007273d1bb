import type {Body, ServiceRequest} from '@banyandrum/base/request.js';

/** A request whose body tells whether it can be sent once more. */
export interface TrackedRequest {
  readonly req: ServiceRequest;
  /** Whether the body is still whole. */
  isWhole(): boolean;
}

/**
 * Watches a request's body: one in a single piece stays whole, a streamed one
 * only until somebody asks for its first piece.
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
