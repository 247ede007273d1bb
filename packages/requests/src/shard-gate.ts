import type {ShardId} from '@banyandrum/base/ids.js';
import type {GateWait} from '@banyandrum/ownership/led-cell.js';
import {
  createFairQueue,
  type FairQueue,
  type FairQueueOptions,
} from './fair-queue.js';
import type {Pending} from './pending.js';

/** One shard's gate, what is in flight and what waits behind it. */
export interface ShardGate {
  readonly shard: ShardId;
  readonly waiting: FairQueue<Pending>;
  closed: boolean;
  /** What the requests wait for where ownership says `moving`. */
  settling: Promise<void> | null;
  /** What they waited for the last time. */
  settled: Promise<void> | null;
  begin(): void;
  /** The caller has its outcome; the server may still run the request. */
  answered(): void;
  /** After `answered`: the server doesn't run the request any more. */
  ended(): void;
  /** Resolves once nothing of the shard is in flight. */
  idle(wait: GateWait): Promise<void>;
  /** Nothing is left to remember of it. */
  isIdle(): boolean;
  /** Takes out all that wait, in their order. */
  drain(now: number): readonly Pending[];
}

/**
 * Makes an open gate.
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
        ticket.item.spot = null;
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

/** Counts what is under way and tells when nothing is. */
export interface Countdown {
  begin(): void;
  end(): void;
  /** Resolves once nothing is under way. */
  idle(): Promise<void>;
  count(): number;
}

/**
 * Makes a count that starts at 0.
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
