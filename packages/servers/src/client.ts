import type {Failure} from '@banyandrum/base/failure.js';
import type {CellId, Fence, ShardId} from '@banyandrum/base/ids.js';
import type {ServiceAnswer, ServiceRequest} from '@banyandrum/base/request.js';
import type {Result} from '@banyandrum/base/result.js';

/** A reading of one backend server's own monotonic clock. */
export interface Stamp {
  /** Random for each run of the server. */
  readonly boot: string;
  /** Its monotonic clock, in ms. */
  readonly ms: number;
}

/** Where a backend server is, and how much it takes. */
export interface ServerRef {
  readonly name: string;
  readonly service: string;
  /** `ip:port`. */
  readonly address: string;
  readonly slots: number;
  readonly connections: number;
}

/**
 * Grants, renews and releases in one: the whole set of shards that the
 * server may serve for a cell from now on. A shard that is missing is
 * released. The lease ends `ttlMs` after `echo` on the server's own clock, so
 * that an order delivered late extends nothing. Without an echo the order
 * grants nothing and only fetches a stamp.
 */
export interface LeaseOrder {
  readonly cell: CellId;
  readonly fence: Fence;
  readonly ttlMs: number;
  readonly echo: Stamp | null;
  readonly shards: readonly ShardId[];
}

/** What the server holds after an order. */
export interface LeaseAck {
  readonly stamp: Stamp;
  /** The fence it obeys for the cell, or null where it holds nothing. */
  readonly fence: Fence | null;
  readonly shards: readonly ShardId[];
}

/**
 * - `fenced`: it obeys a higher fence; `fence` says which.
 * - `unreachable`: proved not delivered.
 * - `unknown`: may have been obeyed, or may be later.
 * - `invalid`: it answered something that is no acknowledgement.
 */
export type ServerErrorKind = 'fenced' | 'unreachable' | 'unknown' | 'invalid';

export interface ServerError {
  readonly kind: ServerErrorKind;
  readonly detail: string;
  readonly fence?: Fence;
}

export type ServerHealth = 'ok' | 'cold' | 'shedding' | 'leaving';

/** What a server says of itself; lags and may mislead. */
export interface ServerLoad {
  readonly health: ServerHealth;
  readonly busy: number;
  readonly slots: number;
  readonly queued: number;
}

/** One request on its way to a backend server. */
export interface Dispatch {
  readonly req: ServiceRequest;
  readonly cell: CellId;
  readonly shard: ShardId;
  readonly fence: Fence;
  /** On the server's own clock; it refuses or stops the request after it. */
  readonly serverDeadline: Stamp;
  /**
   * On the server's own clock; it refuses the request when it arrives later.
   * Bound to the lease in force at dispatch.
   */
  readonly serverStartBy: Stamp;
  /**
   * Asked synchronously right before the request is written. A process that
   * was paused between the decision and the write gets `false` and writes
   * nothing, so the request has not run.
   */
  mayWrite(): boolean;
}

/** The way to all backend servers, within each one's connection limit. */
export interface ServerClient {
  /** `mayWrite` is asked as in a `Dispatch`; `false` gives `unreachable`. */
  order(
    server: ServerRef,
    order: LeaseOrder,
    signal?: AbortSignal,
    mayWrite?: () => boolean,
  ): Promise<Result<LeaseAck, ServerError>>;
  load(
    server: ServerRef,
    signal?: AbortSignal,
  ): Promise<Result<ServerLoad, ServerError>>;
  send(
    server: ServerRef,
    dispatch: Dispatch,
  ): Promise<Result<ServiceAnswer, Failure>>;
  /** Drops the connections to servers that are gone from the inventory. */
  forget(server: ServerRef): void;
  close(): Promise<void>;
}
