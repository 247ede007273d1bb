import type {CancelSignal} from './cancel.js';
import type {Failure} from './failure.js';
import type {Result} from './result.js';

/** An HTTP header field; names are lower case. */
export interface HeaderField {
  readonly name: string;
  readonly value: string;
}

/**
 * A body: one chunk if it is small, else a stream that can be read once. If the
 * body is truncated, iterating it throws a `FailureError`; the iteration never
 * ends as if the body were complete.
 */
export type Body = Uint8Array | AsyncIterable<Uint8Array>;

/** A caller's request; the same on every hop. */
export interface ServiceRequest {
  /** Unique per request; correlates responses with requests. */
  readonly id: string;
  readonly service: string;
  readonly key: string;
  readonly method: string;
  /** The rest of the path after the key, with the query: `'/beds?free=1'`. */
  readonly path: string;
  readonly headers: readonly HeaderField[];
  readonly body: Body;
  /** Monotonic time of this process, in ms, by which the response is due. */
  readonly deadline: number;
  /** Whether it is sent to a backend server at most once, without retries. */
  readonly once: boolean;
  /** Index into the precedence levels of the rules; 0 is the highest. */
  readonly precedence: number;
  /** Identifies the caller, for fairness between callers. */
  readonly caller: string;
  /** Aborted when the caller cancels the request. */
  readonly signal: CancelSignal;
}

/** A backend server's response. */
export interface ServiceAnswer {
  readonly status: number;
  readonly headers: readonly HeaderField[];
  readonly body: Body;
}

/** Forwards a request by one hop; resolves to the response or the failure. */
export type RequestHandler = (
  req: ServiceRequest,
) => Promise<Result<ServiceAnswer, Failure>>;

export const EMPTY_BODY = new Uint8Array(0);
