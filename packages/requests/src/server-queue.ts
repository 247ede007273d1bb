import type {Clock} from '@banyandrum/base/clock.js';
import type {ServerRef} from '@banyandrum/servers/client.js';
import {
  createDecayingSum,
  type DecayingSum,
} from '@banyandrum/queueing/decaying-sum.js';
import type {Ticket} from './fair-level.js';
import {
  createFairQueue,
  type FairQueue,
  type FairQueueOptions,
} from './fair-queue.js';
import type {Pending} from './pending.js';
import {createServerSlots, type ServerSlots} from './server-slots.js';
import {createWaitError, type WaitError} from './wait-error.js';
import {createServiceTimes, type ServiceTimes} from './service-times.js';

/** The requests that wait for one server, and its service times. */
export interface ServerQueue {
  readonly name: string;
  readonly slots: ServerSlots;
  readonly waiting: FairQueue<Pending>;
  /** Applies the present entry of the inventory. */
  update(ref: ServerRef): void;
  /** Records a complete answer to a request of `level`. */
  answered(level: number, ms: number, now: number): void;
  /** Records a request of `level` that ended without an answer. */
  cut(level: number, ms: number, now: number): void;
  /** Nearly all requests of `level` take longer than this, in ms. */
  lowMs(level: number): number;
  /** Mean service time of `level`, or of all levels if it has none yet. */
  meanMs(level?: number): number;
  /** Estimated time until the ticket's turn, in ms. */
  waitMs(ticket: Ticket<Pending>): number;
  /**
   * Records the end of a wait since `since`. Waits during which the leader was
   * not allowed to send are ignored.
   */
  waited(level: number, since: number, expectedMs: number): void;
  /** Records that the leader is not allowed to send to the server now. */
  heldBack(): void;
}

/** Averaging period of each level's share, in ms. */
const SHARE_PERIOD_MS = 5000;

/** Minimum share of the slots that higher levels leave to the lower ones. */
const MIN_SHARE = 0.1;

/**
 * Creates the queue of one server.
 *
 * @example
 * ```ts
 * const server = createServerQueue(ref, {levels, fair: true}, clock);
 * const ticket = server.waiting.push(pending);
 * const inTime = clock.now() + server.waitMs(ticket) < req.deadline;
 * ```
 */
export function createServerQueue(
  ref: ServerRef,
  options: FairQueueOptions,
  clock: Clock,
): ServerQueue {
  const slots = createServerSlots(ref.slots, clock);
  const waiting = createFairQueue<Pending>(options);
  const overall = createServiceTimes();
  const times: ServiceTimes[] = [];
  const errors: WaitError[] = [];
  const busyMs: DecayingSum[] = [];

  let heldAt = -Infinity;

  const timesOf = (level: number): ServiceTimes =>
    (times[level] ??= createServiceTimes());

  const busyOf = (level: number): DecayingSum =>
    (busyMs[level] ??= createDecayingSum(SHARE_PERIOD_MS, clock.now()));

  const errorOf = (level: number): WaitError =>
    (errors[level] ??= createWaitError());

  const meanMs = (level?: number): number => {
    const own = level === undefined ? 0 : (times[level]?.mean() ?? 0);
    return own > 0 ? own : overall.mean();
  };

  /** Fraction of the slots that the higher levels leave. */
  const shareOf = (level: number): number => {
    const now = clock.now();
    let busy = 0;
    for (let upper = 0; upper < level; upper++) {
      busy += busyMs[upper]?.perMs(now) ?? 0;
    }
    return Math.max(MIN_SHARE, 1 - busy / slots.window());
  };

  return {
    name: ref.name,
    slots,
    waiting,
    update: next => slots.resize(next.slots),
    answered(level, ms, now) {
      timesOf(level).record(ms);
      overall.record(ms);
      busyOf(level).add(ms, now);
    },
    cut(level, ms, now) {
      timesOf(level).recordCut(ms);
      overall.recordCut(ms);
      busyOf(level).add(ms, now);
    },
    lowMs: level => times[level]?.low() ?? 0,
    meanMs,
    waitMs(ticket) {
      const own = ticket.item.level;
      let work = meanMs(own) / 2;
      for (let level = 0; level <= own; level++) {
        work += waiting.ahead(ticket, level) * meanMs(level);
      }
      const pause = Math.max(0, slots.pausedUntil() - clock.now());
      const ms = pause + work / slots.window() / shareOf(own);
      return ms * errorOf(own).factor();
    },
    waited(level, since, expectedMs) {
      if (expectedMs <= 0 || since <= heldAt) return;
      errorOf(level).observe((clock.now() - since) / expectedMs);
    },
    heldBack() {
      heldAt = clock.now();
    },
  };
}
