import type {ShardId} from '@banyandrum/base/ids.js';

/** A server that may own shards. */
export interface Candidate {
  readonly name: string;
  readonly slots: number;
  /** Usable share of its slots, 0 to 1: lower during slow start or a drain. */
  readonly readiness: number;
  /** Estimated number of slots that it can keep busy; at most `slots`. */
  readonly capacity: number;
  /** Slots kept busy by its shards, as measured by the leader. */
  readonly busy: number;
  /** Mean time for which a request keeps a slot busy, in ms; 0 if unknown. */
  readonly serviceMs?: number;
}

/** A shard and its current server. */
export interface PlacedShard {
  readonly shard: ShardId;
  /** Null if the shard has no owner. */
  readonly server: string | null;
  /** Number of slots that it keeps busy. */
  readonly load: number;
  /** Monotonic time in ms of its last move. */
  readonly movedAt: number;
  /** The shard counts as load, but can't be moved now. */
  readonly pinned?: boolean;
}

export interface Weights {
  readonly imbalance: number;
  readonly churn: number;
  readonly unavailable: number;
}

export interface PlanInput {
  readonly now: number;
  readonly candidates: readonly Candidate[];
  readonly shards: readonly PlacedShard[];
  readonly weights: Weights;
}

/** A planned move of a shard to another server. */
export interface Move {
  readonly shard: ShardId;
  readonly from: string | null;
  readonly to: string;
  /** Why the shard is moved, for operators. */
  readonly reason: string;
}
