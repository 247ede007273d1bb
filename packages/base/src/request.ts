import type {CancelSignal} from './cancel.js';
import type {Failure} from './failure.js';
import type {Result} from './result.js';

/** An HTTP header field; names are lower case. */
export interface HeaderField {
  readonly name: string;
  readonly value: string;
}

/**
 * A body: whole in one piece where it is small, else streamed once.
 * Iterating a cut body throws a `FailureError`; it never ends as if whole.
 */
export type Body = Uint8Array | AsyncIterable<Uint8Array>;

/** A caller's request, alike on every hop. */
export interface ServiceRequest {
  /** Unique for each request; answers are matched by it. */
  readonly id: string;
  readonly service: string;
  readonly key: string;
  readonly method: string;
  /** What follows the key, with the query: `''`, `'/beds?free=1'`. */
  readonly path: string;
  readonly headers: readonly HeaderField[];
  readonly body: Body;
  /** Monotonic time of this process, in ms, by which the answer is due. */
  readonly deadline: number;
  /** Not to be repeated: sent to a backend server once at most. */
  readonly once: boolean;
  /** Index into the levels of the rules; 0 goes first. */
  readonly precedence: number;
  /** Who asks, for fairness between callers. */
  readonly caller: string;
  /** Aborted when the caller gave up. */
  readonly signal: CancelSignal;
}

/** A backend server's answer. */
export interface ServiceAnswer {
  readonly status: number;
  readonly headers: readonly HeaderField[];
  readonly body: Body;
}

/** Carries a request one hop on and yields its answer or its failure. */
export type RequestHandler = (
  req: ServiceRequest,
) => Promise<Result<ServiceAnswer, Failure>>;

export const EMPTY_BODY = new Uint8Array(0);
