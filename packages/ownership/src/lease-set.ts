import type {Fence, ShardId} from '@banyandrum/base/ids.js';
import type {Authority} from './authority.js';

/** The set of shards that a lease order names, with its fence. */
export interface FencedShards {
  readonly fence: Fence;
  readonly shards: ReadonlySet<ShardId>;
}

/** The shards assigned to one server, and the fence of that set. */
export interface LeaseSet {
  assigned(): ReadonlySet<ShardId>;
  add(shards: Iterable<ShardId>): void;
  /** Returns whether any of the shards was in the set. */
  remove(shards: Iterable<ShardId>): boolean;
  /** Whether the set differs from the one that `next` last returned. */
  hasChanged(): boolean;
  /** The set for the next order, with a new fence if the set has changed. */
  next(): FencedShards;
  /** The fence of the set that `next` last returned. */
  fence(): Fence;
  /** Makes the next fence higher than `known`, if that is of this epoch. */
  raiseFenceAbove(known: Fence | null): void;
}

/**
 * Creates an empty set for one server. Each change of the set raises the
 * sequence number of the fence, so that a server that checks fences rejects
 * older sets. A renewal repeats the last fence.
 *
 * @example
 * ```ts
 * set.add(['12']);
 * const {fence, shards} = set.next();
 * ```
 */
export function createLeaseSet(authority: Authority): LeaseSet {
  const assigned = new Set<ShardId>();
  let changed = true;
  let sequence = 0;
  let lastShards: ReadonlySet<ShardId> = new Set();
  let fence: Fence = {epoch: authority.epoch, sequence};

  return {
    assigned: () => assigned,
    add(shards) {
      for (const shard of shards) assigned.add(shard);
      changed = true;
    },
    remove(shards) {
      let found = false;
      for (const shard of shards) found = assigned.delete(shard) || found;
      changed ||= found;
      return found;
    },
    hasChanged: () => changed,
    next() {
      const {epoch} = authority;
      if (changed) {
        sequence++;
        lastShards = new Set(assigned);
      }
      if (changed || fence.epoch !== epoch) fence = {epoch, sequence};
      changed = false;
      return {fence, shards: lastShards};
    },
    fence: () => fence,
    raiseFenceAbove(known) {
      if (known === null || known.epoch !== authority.epoch) return;
      if (known.sequence <= sequence) return;
      sequence = known.sequence;
      changed = true;
    },
  };
}
