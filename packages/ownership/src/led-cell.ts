import type {CellId, Fence, Offset, ShardId} from '@banyandrum/base/ids.js';
import type {ServerRef, Stamp} from '@banyandrum/servers/client.js';

/** The shard has an owner with a lease in force. */
export interface Owned {
  readonly kind: 'owned';
  readonly shard: ShardId;
  readonly server: ServerRef;
  readonly fence: Fence;
  /** Local monotonic time at which the lease ends, counted with care. */
  readonly leaseEnd: number;
  /**
   * Whether the server stops what runs for a shard when its lease ends or an
   * order takes the shard. Others honour nothing but the deadline.
   */
  readonly checksFences: boolean;
  /**
   * Local time at which the server has surely lost the shard unless its lease
   * is renewed once more; past once it is lost; infinite where this process
   * no longer knows, since another one may keep the lease now.
   */
  heldUntil(): number;
  /** Converts a local time into the server's own clock, erring early. */
  toServerTime(localMs: number): Stamp;
}

/** The shard moves or recovers; ask again once `settled` resolves. */
export interface Moving {
  readonly kind: 'moving';
  readonly shard: ShardId;
  readonly settled: Promise<void>;
}

/** No server can take the shard now. */
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
  /** Where a key is now. */
  locate(key: string): Location;
  /** Whether this process may act for the cell at this very moment. */
  mayAct(): boolean;
}

/**
 * What a closed gate waits for.
 *
 * - `answered`: every caller has its outcome. Enough where an order to the
 *   server ends what it still runs for the shard.
 * - `ended`: no server runs a request of the shard any more. One that was
 *   written and has no answer counts until its deadline on the server has
 *   passed, although its caller has been told: the server may still run it.
 */
export type GateWait = 'answered' | 'ended';

/**
 * What ownership asks of the requests in flight when it moves a shard or
 * hears of a lost server. Implemented by the leader's admission.
 */
export interface DispatchGate {
  /**
   * Stops dispatch of the shard and resolves when none of its requests is
   * in flight any more; without `wait`, none has `ended`. Newcomers wait in
   * the queue.
   */
  close(cell: CellId, shard: ShardId, wait?: GateWait): Promise<void>;
  /** Lets the shard's waiting requests go, wherever it is now. */
  open(cell: CellId, shard: ShardId): void;
}

/** Load of one shard as its leader saw it, over the last period. */
export interface ShardLoad {
  readonly shard: ShardId;
  /** Requests a second. */
  readonly rate: number;
  /** Slots kept busy on average. */
  readonly busy: number;
}

/** Load of one server as its leader saw it, over the last period. */
export interface ServerObservation {
  readonly server: string;
  /** Slots in flight on average. */
  readonly busy: number;
  readonly queued: number;
  /** Mean time from write to answer, in ms; 0 before the first. */
  readonly serviceMs: number;
  readonly shed: number;
}

export interface HotKey {
  readonly key: string;
  /** Requests a second, at least. */
  readonly rate: number;
  readonly busy: number;
}

/** The leader's own observation of one cell. */
export interface CellLoad {
  readonly shards: readonly ShardLoad[];
  readonly servers: readonly ServerObservation[];
  readonly hotKeys: readonly HotKey[];
}

/** Where ownership learns the load. Implemented by the leader's admission. */
export interface LoadSource {
  read(cell: CellId): CellLoad;
}
