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

/** Result of the last exchange with the server. */
export type LeaseHealth = 'new' | 'ok' | 'failing';

export interface LeaseTaskOptions {
  readonly server: ServerRef;
  readonly checksFences: boolean;
  readonly authority: Authority;
  readonly client: ServerClient;
  readonly clock: Clock;
  readonly timing: LeaseTiming;
  readonly log: Logger;
  /** Limit on leases that former leaders granted at the server. */
  readonly formerLeases: FormerLeaseLimit;
  /** Stops the task. */
  readonly signal: AbortSignal;
  /** Called after each exchange; `changed`: the server's health changed. */
  readonly onExchange: (task: LeaseTask, changed: boolean) => void;
  /** Called with the shards that a server instance holds at first contact. */
  readonly onReport: (task: LeaseTask, shards: readonly ShardId[]) => void;
}

/** Keeps the lease of one server; nothing else sends it lease orders. */
export interface LeaseTask {
  readonly server: ServerRef;
  readonly checksFences: boolean;
  /** The lease in force as last acknowledged, or null. */
  grant(): Grant | null;
  /** The fence of the latest order; requests carry it. */
  fence(): Fence;
  health(): LeaseHealth;
  /** When this server instance acknowledged its first lease, or null. */
  firstGrantAt(): number | null;
  /** Shards that the next order will name. */
  assigned(): ReadonlySet<ShardId>;
  /**
   * Adds shards to the next order. The caller must have recorded them as this
   * server's, and no other server may hold them.
   */
  add(shards: Iterable<ShardId>): void;
  /** Removes shards from the next order. */
  remove(shards: Iterable<ShardId>): void;
  /** Removes the shard; resolves once the server certainly doesn't hold it. */
  release(shard: ShardId): Promise<void>;
  /**
   * Resolves to true once the server has acknowledged the shard, to false if
   * the server fails to answer.
   */
  waitUntilGranted(shard: ShardId): Promise<boolean>;
  /**
   * From when the server certainly doesn't hold the shard; in the past if it
   * doesn't hold it now.
   */
  mayHoldUntil(shard: ShardId): number;
  /** From when the server certainly holds no shard at all. */
  mayHoldAnyUntil(): number;
  /**
   * Until when leases granted by former leaders may be in force; in the past
   * if none is.
   */
  formerLeaseExpiry(): number;
  limitFormerLeases(limit: FormerLeaseLimit): void;
  /** Runs until the signal aborts. */
  run(): Promise<void>;
}

/**
 * Delay before the first retry of a failed exchange; doubled for each further
 * retry, up to the renewal period.
 */
const FIRST_RETRY_MS = 50;

/** Interval at which a leader without authority checks it again. */
const AUTHORITY_RETRY_MS = 50;

/**
 * Creates the lease task of one server. It fetches a reading of the server's
 * clock, then sends an order with the whole set of shards that echoes the
 * reading. The acknowledgement contains a new reading, so that one exchange
 * per renewal period suffices. At most one order is in flight.
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
  const tracker = createLeaseTracker(checksFences, options.formerLeases);
  const set = createLeaseSet(options.authority);
  const changed = createCondition(clock);
  const exchanged = createCondition(clock);
  let health: LeaseHealth = 'new';
  const exchange = createLeaseExchange({
    ...options,
    tracker,
    set,
    onReport: shards => options.onReport(task, shards),
  });

  const run = async (): Promise<void> => {
    let failures = 0;
    while (!signal.aborted) {
      const outcome = await exchange.run();
      if (signal.aborted) return;
      failures = outcome === 'failed' ? failures + 1 : 0;
      recordOutcome(outcome);
      const delayMs = delayAfter(outcome, failures);
      if (delayMs > 0) await changed.wait(delayMs, signal);
    }
  };

  const recordOutcome = (outcome: ExchangeOutcome): void => {
    const before = health;
    if (outcome === 'ok') health = 'ok';
    if (outcome === 'failed') health = 'failing';
    exchanged.notify();
    options.onExchange(task, health !== before);
  };

  const delayAfter = (outcome: ExchangeOutcome, failures: number): number => {
    if (outcome === 'again') return 0;
    if (outcome === 'no-authority') return AUTHORITY_RETRY_MS;
    if (outcome === 'ok') return set.hasChanged() ? 0 : timing.renewMs;
    return Math.min(timing.renewMs, FIRST_RETRY_MS * 2 ** (failures - 1));
  };

  /** Sends a changed set at once, unless the last exchange failed. */
  const sendSoon = (): void => {
    if (health === 'ok') changed.notify();
  };

  const release = async (shard: ShardId): Promise<void> => {
    task.remove([shard]);
    while (!signal.aborted) {
      const until = tracker.mayHoldUntil(shard);
      const now = clock.now();
      if (until <= now) return;
      await exchanged.wait(until - now, signal);
    }
  };

  const waitUntilGranted = async (shard: ShardId): Promise<boolean> => {
    while (!signal.aborted && health === 'ok') {
      if (exchange.grant()?.shards.has(shard)) return true;
      await exchanged.wait(Infinity, signal);
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
      sendSoon();
    },
    remove(shards) {
      if (set.remove(shards)) sendSoon();
    },
    release,
    waitUntilGranted,
    mayHoldUntil: tracker.mayHoldUntil,
    mayHoldAnyUntil: tracker.mayHoldAnyUntil,
    formerLeaseExpiry: tracker.formerLeaseExpiry,
    limitFormerLeases(limit) {
      tracker.limitFormerLeases(limit);
      exchanged.notify();
    },
    run,
  };
  return task;
}
