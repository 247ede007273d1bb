import type {Clock} from '@banyandrum/base/clock.js';
import type {Fence, ShardId} from '@banyandrum/base/ids.js';
import type {Logger} from '@banyandrum/base/logger.js';
import type {ServerClient, ServerRef} from '@banyandrum/servers/client.js';
import type {Authority} from './authority.js';
import {createCondition} from './condition.js';
import {type ExchangeOutcome, createLeaseExchange} from './lease-exchange.js';
import type {Grant} from './lease-grant.js';
import {type FormerLeaseLimit, createLeaseTracker} from './lease-holding.js';
import {createLeaseSet} from './lease-set.js';
import type {LeaseTiming} from './lease-timing.js';

/** What the last exchange with the server came to. */
export type LeaseHealth = 'new' | 'ok' | 'failing';

export interface LeaseTaskOptions {
  readonly server: ServerRef;
  readonly checksFences: boolean;
  readonly authority: Authority;
  readonly client: ServerClient;
  readonly clock: Clock;
  readonly timing: LeaseTiming;
  readonly log: Logger;
  /** How long a former leader's orders may count at it. */
  readonly formerLeases: FormerLeaseLimit;
  /** Ends the task. */
  readonly signal: AbortSignal;
  /** Called after each exchange, and whether the server's health changed. */
  readonly onExchange: (task: LeaseTask, changed: boolean) => void;
  /** Called with what a run of the server held when first asked. */
  readonly onReport: (task: LeaseTask, shards: readonly ShardId[]) => void;
}

/** The lease of one server: the only place that sends it orders. */
export interface LeaseTask {
  readonly server: ServerRef;
  readonly checksFences: boolean;
  /** The lease in force as last acknowledged, or null. */
  grant(): Grant | null;
  /** The fence of the newest order, for requests. */
  fence(): Fence;
  health(): LeaseHealth;
  /** When this run of the server got its first lease here, or null. */
  firstGrantAt(): number | null;
  /** Shards that the next order names. */
  assigned(): ReadonlySet<ShardId>;
  /**
   * Adds shards to the next order. The caller has recorded them as this
   * server's, and no other server may hold them.
   */
  add(shards: Iterable<ShardId>): void;
  /** Takes shards out of the next order. */
  remove(shards: Iterable<ShardId>): void;
  /** Drops the shard; resolves once the server surely doesn't hold it. */
  release(shard: ShardId): Promise<void>;
  /**
   * Resolves to true once the server has acknowledged the shard, to false
   * where it doesn't answer.
   */
  waitUntilGranted(shard: ShardId): Promise<boolean>;
  /** When the server surely doesn't hold the shard; past: not now. */
  mayHoldUntil(shard: ShardId): number;
  mayHoldAnyUntil(): number;
  /** Until when a former leader's orders may count; past: none does. */
  formerLeaseExpiry(): number;
  limitFormerLeases(limit: FormerLeaseLimit): void;
  /** Runs until the signal aborts. */
  run(): Promise<void>;
}

/** Retry pauses after a failed exchange: doubled up to the renewal period. */
const FIRST_RETRY_MS = 50;

/** How soon a leader that may not act looks again. */
const AUTHORITY_RETRY_MS = 50;

/**
 * Makes the lease of one server. It fetches a reading of the server's clock,
 * orders the whole set of shards with that reading as echo, and repeats both
 * in one exchange every renewal period. One order is in flight at a time.
 *
 * @example
 * ```ts
 * const task = createLeaseTask(options);
 * void task.run();
 * task.add(['12', '13']);
 * ```
 */
export function createLeaseTask(options: LeaseTaskOptions): LeaseTask {
  const {server, clock, timing, signal, checksFences} = options;
  const holding = createLeaseTracker(checksFences, options.formerLeases);
  const set = createLeaseSet(options.authority);
  const changed = createCondition(clock);
  const answered = createCondition(clock);
  let health: LeaseHealth = 'new';
  const exchange = createLeaseExchange({
    ...options,
    tracker: holding,
    set,
    onReport: shards => options.onReport(task, shards),
  });

  const run = async (): Promise<void> => {
    let failures = 0;
    while (!signal.aborted) {
      const outcome = await exchange.run();
      if (signal.aborted) return;
      failures = outcome === 'failed' ? failures + 1 : 0;
      note(outcome);
      const pause = pauseAfter(outcome, failures);
      if (pause > 0) await changed.wait(pause, signal);
    }
  };

  const note = (outcome: ExchangeOutcome): void => {
    const before = health;
    if (outcome === 'ok') health = 'ok';
    if (outcome === 'failed') health = 'failing';
    answered.notify();
    options.onExchange(task, health !== before);
  };

  const pauseAfter = (outcome: ExchangeOutcome, failures: number): number => {
    if (outcome === 'again') return 0;
    if (outcome === 'no-authority') return AUTHORITY_RETRY_MS;
    if (outcome === 'ok') return set.hasChanged() ? 0 : timing.renewMs;
    return Math.min(timing.renewMs, FIRST_RETRY_MS * 2 ** (failures - 1));
  };

  /** Sends a changed set at once, unless the server doesn't answer. */
  const hurry = (): void => {
    if (health === 'ok') changed.notify();
  };

  const release = async (shard: ShardId): Promise<void> => {
    task.remove([shard]);
    while (!signal.aborted) {
      const until = holding.mayHoldUntil(shard);
      const now = clock.now();
      if (until <= now) return;
      await answered.wait(until - now, signal);
    }
  };

  const granted = async (shard: ShardId): Promise<boolean> => {
    while (!signal.aborted && health === 'ok') {
      if (exchange.grant()?.shards.has(shard)) return true;
      await answered.wait(Infinity, signal);
    }
    return false;
  };

  const task: LeaseTask = {
    server,
    checksFences,
    grant: exchange.grant,
    fence: set.fence,
    health: () => health,
    firstGrantAt: exchange.firstGrantAt,
    assigned: set.assigned,
    add(shards) {
      set.add(shards);
      hurry();
    },
    remove(shards) {
      if (set.remove(shards)) hurry();
    },
    release,
    waitUntilGranted: granted,
    mayHoldUntil: holding.mayHoldUntil,
    mayHoldAnyUntil: holding.mayHoldAnyUntil,
    formerLeaseExpiry: holding.formerLeaseExpiry,
    limitFormerLeases(limit) {
      holding.limitFormerLeases(limit);
      answered.notify();
    },
    run,
  };
  return task;
}
