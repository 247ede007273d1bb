import type {ShardId} from '@banyandrum/base/ids.js';
import type {GateWait} from '@banyandrum/ownership/led-cell.js';
import {
  createFairQueue,
  type FairQueue,
  type FairQueueOptions,
} from './fair-queue.js';
import type {Pending} from './pending.js';

/** One shard's gate, with its requests in flight and those that wait. */
export interface ShardGate {
  readonly shard: ShardId;
  readonly waiting: FairQueue<Pending>;
  closed: boolean;
  /** What the requests wait for while the shard is `moving`, else null. */
  settling: Promise<void> | null;
  /** What they waited for last. */
  settled: Promise<void> | null;
  begin(): void;
  /** The caller has the outcome, but the server may still run the request. */
  answered(): void;
  /** After `answered`: the server no longer runs the request. */
  ended(): void;
  /** Resolves once nothing of the shard is in flight. */
  idle(wait: GateWait): Promise<void>;
  /** Whether the gate has no state and can be removed. */
  isIdle(): boolean;
  /** Removes and returns all waiting requests in order. */
  drain(now: number): readonly Pending[];
}

/**
 * Creates an open gate.
 *
 * @example
 * ```ts
 * gate.closed = true;
 * await gate.idle('ended'); // no request of the shard is at a server now
 * ```
 */
export function createShardGate(
  shard: ShardId,
  options: FairQueueOptions,
): ShardGate {
  const waiting = createFairQueue<Pending>(options);
  const unanswered = createCountdown();
  const running = createCountdown();
  const gate: ShardGate = {
    shard,
    waiting,
    closed: false,
    settling: null,
    settled: null,
    begin() {
      unanswered.begin();
      running.begin();
    },
    answered: unanswered.end,
    ended: running.end,
    idle: wait => (wait === 'ended' ? running : unanswered).idle(),
    drain(now) {
      const drained: Pending[] = [];
      for (;;) {
        const ticket = waiting.take(now);
        if (ticket === null) return drained;
        ticket.item.position = null;
        drained.push(ticket.item);
      }
    },
    isIdle() {
      if (gate.closed || gate.settling !== null) return false;
      return running.count() === 0 && waiting.size() === 0;
    },
  };
  return gate;
}

/** Counts operations in progress. */
export interface Countdown {
  begin(): void;
  end(): void;
  /** Resolves once none is in progress. */
  idle(): Promise<void>;
  count(): number;
}

/**
 * Creates a count that starts at 0.
 *
 * @example
 * ```ts
 * inFlight.begin();
 * await inFlight.idle();
 * ```
 */
export function createCountdown(): Countdown {
  let count = 0;
  let waiters: (() => void)[] = [];
  return {
    begin() {
      count++;
    },
    end() {
      if (--count > 0) return;
      const woken = waiters;
      waiters = [];
      for (const wake of woken) wake();
    },
    idle() {
      if (count === 0) return Promise.resolve();
      return new Promise(resolve => waiters.push(resolve));
    },
    count: () => count,
  };
}
