import type {Clock} from '@banyandrum/base/clock.js';
import type {ShardId} from '@banyandrum/base/ids.js';
import type {FairQueueOptions} from './fair-queue.js';
import type {Pending} from './pending.js';
import {createShardGate, type ShardGate} from './shard-gate.js';

/** The gates of one cell's shards. */
export interface ShardGates {
  of(shard: ShardId): ShardGate;
  all(): readonly ShardGate[];
  /** Releases the requests that wait at the gate once `settled` resolves. */
  follow(gate: ShardGate, settled: Promise<void>): void;
  open(gate: ShardGate): void;
  /** Removes the gates that are idle. */
  prune(): void;
}

export interface ShardGatesOptions {
  readonly clock: Clock;
  readonly fairness: FairQueueOptions;
  /** Queues a request where its shard is now. */
  readonly replace: (pending: Pending) => void;
}

/** Delay before the location of an unsettled shard is checked again, in ms. */
const UNSETTLED_PAUSE_MS = 10;

/**
 * Creates the gates of one cell, all open.
 *
 * @example
 * ```ts
 * const gates = createShardGates({clock, fairness, replace});
 * gates.follow(gates.of(where.shard), where.settled);
 * ```
 */
export function createShardGates(options: ShardGatesOptions): ShardGates {
  const {clock} = options;
  const gates = new Map<ShardId, ShardGate>();

  const release = (gate: ShardGate): void => {
    if (gate.closed) return;
    gate.drain(clock.now()).forEach(options.replace);
  };

  return {
    of(shard) {
      const known = gates.get(shard);
      if (known !== undefined) return known;
      const gate = createShardGate(shard, options.fairness);
      gates.set(shard, gate);
      return gate;
    },
    all: () => [...gates.values()],
    follow(gate, settled) {
      if (gate.settling === settled) return;
      const seenBefore = gate.settled === settled;
      gate.settling = settled;
      const go = (): void => {
        if (gate.settling !== settled) return;
        gate.settling = null;
        gate.settled = settled;
        release(gate);
      };
      // Without the delay, a shard that stays `moving` would cause a busy loop.
      const later = (): void => void clock.after(UNSETTLED_PAUSE_MS, go);
      settled.then(seenBefore ? later : go, seenBefore ? later : go);
    },
    open(gate) {
      gate.closed = false;
      release(gate);
    },
    prune() {
      for (const [shard, gate] of gates) {
        if (gate.isIdle()) gates.delete(shard);
      }
    },
  };
}
