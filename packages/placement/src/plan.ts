import type {ShardId} from '@banyandrum/base/ids.js';

/** A server that may own shards. */
export interface Candidate {
  readonly name: string;
  readonly slots: number;
  /** Share of its slots that it may be given, 0 to 1: slow start, drain. */
  readonly readiness: number;
  /** Slots that it proved able to keep busy; at most `slots`. */
  readonly capacity: number;
  /** Slots kept busy by its shards, by the leader's own count. */
  readonly busy: number;
  /** Mean time that a request keeps a slot busy, in ms; 0 if not known. */
  readonly serviceMs?: number;
}

/** A shard and where it is. */
export interface PlacedShard {
  readonly shard: ShardId;
  /** Null where nobody owns it. */
  readonly server: string | null;
  /** Slots that it keeps busy. */
  readonly load: number;
  /** Monotonic time in ms of its last move. */
  readonly movedAt: number;
  /** It counts, but can't be moved now. */
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

/** One shard's way to another server. */
export interface Move {
  readonly shard: ShardId;
  readonly from: string | null;
  readonly to: string;
  /** For operators: what the move is good for. */
  readonly reason: string;
}
