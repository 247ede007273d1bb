import type {CellId, Fence, Offset, ShardId} from '@banyandrum/base/ids.js';
import type {ServerRef, Stamp} from '@banyandrum/servers/client.js';

/** The shard has an owner with a valid lease. */
export interface Owned {
  readonly kind: 'owned';
  readonly shard: ShardId;
  readonly server: ServerRef;
  readonly fence: Fence;
  /** Local monotonic time of the lease's expiry, a conservative estimate. */
  readonly leaseEnd: number;
  /**
   * Whether the server cancels running requests of a shard when its lease
   * expires or a lease call takes the shard away. Other servers only respect
   * the requests' deadlines.
   */
  readonly checksFences: boolean;
  /**
   * Local time by which the server has certainly lost the shard unless its
   * lease is renewed again. In the past once the shard is lost. Infinite when
   * this process can't know, since another leader may renew the lease now.
   */
  heldUntil(): number;
  /** Converts a local time to the server's clock; errs on the early side. */
  toServerTime(localMs: number): Stamp;
}

/** The shard is moving or recovering; retry once `settled` resolves. */
export interface Moving {
  readonly kind: 'moving';
  readonly shard: ShardId;
  readonly settled: Promise<void>;
}

/** No server can take the shard at present. */
export interface Unowned {
  readonly kind: 'unowned';
  readonly shard: ShardId;
  readonly reason: string;
}

export type Location = Owned | Moving | Unowned;

/** A cell that this process leads. */
export interface LedCell {
  readonly cell: CellId;
  readonly epoch: Offset;
  /** Returns where a key is at present. */
  locate(key: string): Location;
  /** Whether this process holds the authority over the cell right now. */
  mayAct(): boolean;
}

/**
 * What closing a gate waits for.
 *
 * - `answered`: every caller has its response. Sufficient if a lease call makes
 *   the server cancel what it still runs for the shard.
 * - `ended`: no server runs a request of the shard any more. A request that was
 *   sent and not answered counts until its deadline at the server has passed,
 *   even if its caller already got an error: the server may still run it.
 */
export type GateWait = 'answered' | 'ended';

/**
 * Controls dispatch of a shard's requests while the shard moves or after its
 * server was lost. Implemented by the leader's request queues.
 */
export interface DispatchGate {
  /**
   * Stops dispatch of the shard and resolves when none of its requests is
   * in flight any more, in the sense of `wait` (`ended` if omitted). New
   * requests wait in the queue.
   */
  close(cell: CellId, shard: ShardId, wait?: GateWait): Promise<void>;
  /** Resumes dispatch of the shard's queued requests to its current server. */
  open(cell: CellId, shard: ShardId): void;
}

/** Load of one shard over the last period, as measured by its leader. */
export interface ShardLoad {
  readonly shard: ShardId;
  /** Requests per second. */
  readonly rate: number;
  /** Average number of slots in use. */
  readonly busy: number;
}

/** Load of one server over the last period, as measured by the leader. */
export interface ServerObservation {
  readonly server: string;
  /** Average number of slots in use. */
  readonly busy: number;
  readonly queued: number;
  /** Mean time from sending to the response, in ms; 0 before the first. */
  readonly serviceMs: number;
  readonly shed: number;
}

export interface HotKey {
  readonly key: string;
  /** Lower bound of its requests per second. */
  readonly rate: number;
  readonly busy: number;
}

/** Load of one cell, as measured by its leader. */
export interface CellLoad {
  readonly shards: readonly ShardLoad[];
  readonly servers: readonly ServerObservation[];
  readonly hotKeys: readonly HotKey[];
}

/** Source of load measurements. Implemented by the leader's request queues. */
export interface LoadSource {
  read(cell: CellId): CellLoad;
}
