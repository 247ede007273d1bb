import {createId} from '@banyandrum/base/ids.js';
import type {Offset} from '@banyandrum/base/ids.js';
import type {ClusterState} from './state.js';
import type {Appended} from './store.js';

/** One append whose record hasn't been read back yet. */
export interface PendingAppend {
  /** Goes into the record, so that it is known again when it is read. */
  readonly id: string;
  /** Resolves once the record was read back; else never. */
  readonly readBack: Promise<Appended>;
  /** The log's reply came: the record's offset is known. */
  confirm(offset: Offset): void;
  /** Nobody waits any more. */
  forget(): void;
}

/** Appends under way, matched with what is read. */
export interface PendingAppends {
  begin(): PendingAppend;
  /** Told of each record read, with the state after it. */
  recordRead(id: string, offset: Offset, state: ClusterState): void;
  /** Told when the state moved on, also past records that weren't read. */
  stateMoved(state: ClusterState): void;
}

/**
 * Makes an empty set of appends under way.
 *
 * @example
 * ```ts
 * const pending = pendings.begin();
 * await client.append(encodeRecord(record, pending.id));
 * const {offset} = await pending.readBack;
 * ```
 */
export function createPendingAppends(): PendingAppends {
  const waiting = new Map<string, Waiter>();
  return {
    begin: () => begin(waiting),
    recordRead(id, offset, state) {
      waiting.get(id)?.resolve({offset, state});
      waiting.delete(id);
    },
    stateMoved(state) {
      for (const [id, waiter] of waiting) {
        if (waiter.offset === null || waiter.offset >= state.next) continue;
        waiter.resolve({offset: waiter.offset, state});
        waiting.delete(id);
      }
    },
  };
}

interface Waiter {
  readonly resolve: (appended: Appended) => void;
  offset: Offset | null;
}

function begin(waiting: Map<string, Waiter>): PendingAppend {
  const id = createId();
  const readBack = new Promise<Appended>(resolve => {
    waiting.set(id, {resolve, offset: null});
  });
  return {
    id,
    readBack,
    confirm(offset) {
      const waiter = waiting.get(id);
      if (waiter !== undefined) waiter.offset = offset;
    },
    forget() {
      waiting.delete(id);
    },
  };
}
