import type {Failure} from '@banyandrum/base/failure.js';
import type {CellId, Fence, ShardId} from '@banyandrum/base/ids.js';
import type {ServiceAnswer, ServiceRequest} from '@banyandrum/base/request.js';
import type {Result} from '@banyandrum/base/result.js';

/** A reading of one backend server's own monotonic clock. */
export interface Stamp {
  /** Random for each start of the server. */
  readonly boot: string;
  /** Its monotonic clock, in ms. */
  readonly ms: number;
}

/** A backend server's address and capacity. */
export interface ServerRef {
  readonly name: string;
  readonly service: string;
  /** `ip:port`. */
  readonly address: string;
  readonly slots: number;
  readonly connections: number;
}

/**
 * Grants, renews and releases leases: the complete set of shards that the server
 * may serve for a cell. Shards that aren't listed are released. The lease ends
 * `ttlMs` after `echo` on the server's clock, so an order that is delivered late
 * extends nothing. Without an echo, the order grants nothing and only returns a
 * stamp.
 */
export interface LeaseOrder {
  readonly cell: CellId;
  readonly fence: Fence;
  readonly ttlMs: number;
  readonly echo: Stamp | null;
  readonly shards: readonly ShardId[];
}

/** The shards that the server holds after an order. */
export interface LeaseAck {
  readonly stamp: Stamp;
  /** The fence in effect for the cell; null if it holds nothing. */
  readonly fence: Fence | null;
  readonly shards: readonly ShardId[];
}

/**
 * - `fenced`: the server has seen a higher fence, `fence`.
 * - `unreachable`: certainly not delivered.
 * - `unknown`: may have taken effect, or may do so later.
 * - `invalid`: the response isn't a valid acknowledgement.
 */
export type ServerErrorKind = 'fenced' | 'unreachable' | 'unknown' | 'invalid';

export interface ServerError {
  readonly kind: ServerErrorKind;
  readonly detail: string;
  readonly fence?: Fence;
}

export type ServerHealth = 'ok' | 'cold' | 'shedding' | 'leaving';

/** A server's report of its load, which may be outdated or wrong. */
export interface ServerLoad {
  readonly health: ServerHealth;
  readonly busy: number;
  readonly slots: number;
  readonly queued: number;
}

/** A request to send to a backend server. */
export interface Dispatch {
  readonly req: ServiceRequest;
  readonly cell: CellId;
  readonly shard: ShardId;
  readonly fence: Fence;
  /** On the server's clock; it refuses or stops the request afterwards. */
  readonly serverDeadline: Stamp;
  /**
   * On the server's clock; it refuses a request that arrives later. Limited by
   * the lease at the time of dispatch.
   */
  readonly serverStartBy: Stamp;
  /**
   * Called synchronously just before the request is written. It returns `false`
   * in a process that was suspended since the decision to send, which then
   * writes nothing.
   */
  mayWrite(): boolean;
}

/** Client of all backend servers, within the connection limit of each. */
export interface ServerClient {
  /** `mayWrite` is as in a `Dispatch`; `false` results in `unreachable`. */
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
  /** Closes the connections to a server that left the inventory. */
  forget(server: ServerRef): void;
  close(): Promise<void>;
}
