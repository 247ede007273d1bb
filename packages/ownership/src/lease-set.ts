import type {Fence, ShardId} from '@banyandrum/base/ids.js';
import type {Authority} from './authority.js';

/** What the next order names. */
export interface FencedShards {
  readonly fence: Fence;
  readonly shards: ReadonlySet<ShardId>;
}

/** The shards that a server is to hold, and the fence that goes with them. */
export interface LeaseSet {
  assigned(): ReadonlySet<ShardId>;
  add(shards: Iterable<ShardId>): void;
  /** Returns whether any of them was there. */
  remove(shards: Iterable<ShardId>): boolean;
  /** Whether the set differs from the one last taken. */
  hasChanged(): boolean;
  /** The set for an order; its fence is a new one where it has changed. */
  next(): FencedShards;
  /** The fence of the set last taken. */
  fence(): Fence;
  /** Raises the next fence above one that the server knows of this epoch. */
  raiseFenceAbove(known: Fence | null): void;
}

/**
 * Makes the set of one server, empty. Each change of the set gets a higher
 * sequence, so that a server that checks fences refuses older sets; a renewal
 * repeats the last one.
 *
 * @example
 * ```ts
 * set.add(['12']);
 * const {fence, shards} = set.take();
 * ```
 */
export function createLeaseSet(authority: Authority): LeaseSet {
  const wanted = new Set<ShardId>();
  let changed = true;
  let sequence = 0;
  let taken: ReadonlySet<ShardId> = new Set();
  let fence: Fence = {epoch: authority.epoch, sequence};

  return {
    assigned: () => wanted,
    add(shards) {
      for (const shard of shards) wanted.add(shard);
      changed = true;
    },
    remove(shards) {
      let found = false;
      for (const shard of shards) found = wanted.delete(shard) || found;
      changed ||= found;
      return found;
    },
    hasChanged: () => changed,
    next() {
      const {epoch} = authority;
      if (changed) {
        sequence++;
        taken = new Set(wanted);
      }
      if (changed || fence.epoch !== epoch) fence = {epoch, sequence};
      changed = false;
      return {fence, shards: taken};
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
