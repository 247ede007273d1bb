import type {Clock} from '@banyandrum/base/clock.js';
import type {ShardId} from '@banyandrum/base/ids.js';
import type {FairQueueOptions} from './fair-queue.js';
import type {Pending} from './pending.js';
import {createShardGate, type ShardGate} from './shard-gate.js';

/** The gates of one cell's shards. */
export interface ShardGates {
  of(shard: ShardId): ShardGate;
  all(): readonly ShardGate[];
  /** Lets what waits at the gate go once `settled` resolves. */
  follow(gate: ShardGate, settled: Promise<void>): void;
  open(gate: ShardGate): void;
  /** Forgets shards that nothing is left of. */
  prune(): void;
}

export interface ShardGatesOptions {
  readonly clock: Clock;
  readonly fairness: FairQueueOptions;
  /** Puts a request where its shard is by now. */
  readonly replace: (pending: Pending) => void;
}

/** Pause before a location that has not settled is asked for again. */
const UNSETTLED_PAUSE_MS = 10;

/**
 * Makes the gates of one cell, all open.
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
      // One that says `moving` for ever would spin without the pause.
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
