import type {Clock} from '@banyandrum/base/clock.js';
import type {CellId, Fence, ShardId} from '@banyandrum/base/ids.js';
import type {Logger} from '@banyandrum/base/logger.js';
import type {
  LeaseAck,
  LeaseOrder,
  ServerClient,
  ServerError,
  ServerRef,
  Stamp,
} from '@banyandrum/servers/client.js';
import type {Authority} from './authority.js';
import {createCondition, withTimeout} from './condition.js';
import {
  type ForeignLimit,
  type Holding,
  type Reading,
  type SentOrder,
  createHolding,
  createSentOrder,
} from './lease-holding.js';
import type {LeaseTiming} from './lease-timing.js';

/** A lease that requests can be dispatched under. */
export interface Grant {
  readonly shards: ReadonlySet<ShardId>;
  /** Local time up to which the server surely obeys it. */
  readonly leaseEnd: number;
  /** Converts a local time into the server's own clock, erring early. */
  readonly toServerTime: (localMs: number) => Stamp;
}

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
  readonly foreign: ForeignLimit;
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
  wanted(): ReadonlySet<ShardId>;
  /**
   * Adds shards to the next order. The caller has recorded them as this
   * server's, and no other server may hold them.
   */
  add(shards: Iterable<ShardId>): void;
  /** Takes shards out of the next order. */
  drop(shards: Iterable<ShardId>): void;
  /** Drops the shard; resolves once the server surely doesn't hold it. */
  release(shard: ShardId): Promise<void>;
  /**
   * Resolves to true once the server has acknowledged the shard, to false
   * where it doesn't answer.
   */
  granted(shard: ShardId): Promise<boolean>;
  /** When the server surely doesn't hold the shard; past: not now. */
  mayHoldUntil(shard: ShardId): number;
  mayHoldAnyUntil(): number;
  /** Until when a former leader's orders may count; past: none does. */
  foreignUntil(): number;
  limitForeign(limit: ForeignLimit): void;
  /** Runs until the signal aborts. */
  run(): Promise<void>;
}

/** Retry pauses after a failed exchange: doubled up to the renewal period. */
const FIRST_RETRY_MS = 50;

/** How soon a leader that may not act looks again. */
const AUTHORITY_RETRY_MS = 50;

type Outcome = 'ok' | 'again' | 'failed' | 'no-authority';

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
  const {server, authority, clock, timing, signal, checksFences} = options;
  const cell: CellId = authority.cell;
  const holding = createHolding(checksFences, options.foreign);
  const changed = createCondition(clock);
  const answered = createCondition(clock);
  const wanted = new Set<ShardId>();
  let dirty = true;
  let sequence = 0;
  let sentShards: ReadonlySet<ShardId> = new Set();
  let fence: Fence = {epoch: authority.epoch, sequence};
  let grant: Grant | null = null;
  let health: LeaseHealth = 'new';
  let firstGrantAt: number | null = null;
  let reportedBoot: string | null = null;

  const nextFence = (): Fence => {
    if (dirty) {
      dirty = false;
      sequence++;
      sentShards = new Set(wanted);
    }
    if (fence.sequence !== sequence || fence.epoch !== authority.epoch) {
      fence = {epoch: authority.epoch, sequence};
    }
    return fence;
  };

  const exchange = async (): Promise<Outcome> => {
    const echo = usableReading(holding, clock.now(), timing);
    // Asked in the step that sends: a leader that was paused must not order
    // with an authority that ended meanwhile.
    if (!authority.mayAct()) return 'no-authority';
    const askedAt = clock.now();
    if (echo === null) return askClock(askedAt);
    const fence = nextFence();
    const order = createSentOrder(fence, sentShards, echo, askedAt, timing);
    holding.noteSent(order);
    const result = await send(order);
    if (result.err) return refuse(order, result.val);
    return acknowledge(order, result.val, askedAt);
  };

  const askClock = async (askedAt: number): Promise<Outcome> => {
    const result = await send(null);
    if (result.err) return 'failed';
    const ack = result.val;
    noteStamp(ack, askedAt);
    raiseSequence(ack.fence);
    return 'again';
  };

  const send = (order: SentOrder | null): ReturnType<ServerClient['order']> => {
    const message: LeaseOrder = {
      cell,
      fence: order?.fence ?? fence,
      ttlMs: timing.ttlMs,
      echo: order?.echo.stamp ?? null,
      shards: order === null ? [] : [...order.shards],
    };
    return withTimeout(clock, timing.orderTimeoutMs, signal, ended =>
      options.client.order(server, message, ended, authority.mayAct),
    );
  };

  const noteStamp = (ack: LeaseAck, askedAt: number): void => {
    const before = holding.reading();
    const receivedAt = clock.now();
    holding.noteReading({stamp: ack.stamp, askedAt, receivedAt});
    if (before !== null && before.stamp.boot !== ack.stamp.boot) {
      grant = null;
      firstGrantAt = null;
      options.log.info('server restarted', {cell, server: server.name});
    }
    if (reportedBoot === ack.stamp.boot) return;
    reportedBoot = ack.stamp.boot;
    options.onReport(task, ack.shards);
  };

  const raiseSequence = (known: Fence | null): void => {
    if (known === null || known.epoch !== authority.epoch) return;
    if (known.sequence <= sequence) return;
    sequence = known.sequence;
    dirty = true;
  };

  const refuse = (order: SentOrder, err: ServerError): Outcome => {
    if (err.kind === 'unreachable') holding.noteRefused(order);
    if (err.kind !== 'fenced') return 'failed';
    holding.noteRefused(order);
    const known = err.fence ?? null;
    if (known?.epoch !== authority.epoch) return 'failed';
    raiseSequence(known);
    return 'again';
  };

  const acknowledge = (
    order: SentOrder,
    ack: LeaseAck,
    askedAt: number,
  ): Outcome => {
    const obeyed = isObeyed(order, ack, timing);
    if (obeyed) holding.noteObeyed(order);
    else holding.noteRefused(order);
    noteStamp(ack, askedAt);
    const restarted = ack.stamp.boot !== order.echo.stamp.boot;
    if (!obeyed) return restarted ? 'again' : 'failed';
    const newest = {stamp: ack.stamp, askedAt, receivedAt: clock.now()};
    grant = createGrant(order, newest, timing);
    firstGrantAt ??= clock.now();
    return dirty ? 'again' : 'ok';
  };

  const pauseAfter = (outcome: Outcome, failures: number): number => {
    if (outcome === 'ok') return timing.renewMs;
    if (outcome === 'again') return 0;
    if (outcome === 'no-authority') return AUTHORITY_RETRY_MS;
    return Math.min(timing.renewMs, FIRST_RETRY_MS * 2 ** (failures - 1));
  };

  const run = async (): Promise<void> => {
    let failures = 0;
    while (!signal.aborted) {
      const before = health;
      const outcome = await exchange();
      if (signal.aborted) return;
      failures = outcome === 'failed' ? failures + 1 : 0;
      if (outcome === 'ok') health = 'ok';
      if (outcome === 'failed') health = 'failing';
      answered.notify();
      options.onExchange(task, health !== before);
      const pause = pauseAfter(outcome, failures);
      if (pause === 0) continue;
      if (dirty && outcome === 'ok') continue;
      await changed.wait(pause, signal);
    }
  };

  const change = (): void => {
    dirty = true;
    if (health === 'ok') changed.notify();
  };

  const release = async (shard: ShardId): Promise<void> => {
    task.drop([shard]);
    while (!signal.aborted) {
      const until = holding.mayHoldUntil(shard);
      const now = clock.now();
      if (until <= now) return;
      await answered.wait(until - now, signal);
    }
  };

  const granted = async (shard: ShardId): Promise<boolean> => {
    while (!signal.aborted && health === 'ok') {
      if (grant?.shards.has(shard)) return true;
      await answered.wait(Infinity, signal);
    }
    return false;
  };

  const task: LeaseTask = {
    server,
    checksFences,
    grant: () => grant,
    fence: () => fence,
    health: () => health,
    firstGrantAt: () => firstGrantAt,
    wanted: () => wanted,
    add(shards) {
      for (const shard of shards) wanted.add(shard);
      change();
    },
    drop(shards) {
      let found = false;
      for (const shard of shards) found = wanted.delete(shard) || found;
      if (found) change();
    },
    release,
    granted,
    mayHoldUntil: shard => holding.mayHoldUntil(shard),
    mayHoldAnyUntil: () => holding.mayHoldAnyUntil(),
    foreignUntil: () => holding.foreignUntil(),
    limitForeign(limit) {
      holding.limitForeign(limit);
      answered.notify();
    },
    run,
  };
  return task;
}

/** A reading that still buys at least half a lease, or null. */
function usableReading(
  holding: Holding,
  now: number,
  timing: LeaseTiming,
): Reading | null {
  const reading = holding.reading();
  if (reading === null) return null;
  return now - reading.askedAt < timing.ttlMs / 2 ? reading : null;
}

/**
 * Whether the server's answer proves that it obeyed the order. A server at
 * which the echo had lapsed answers too; taken for obedience, requests would
 * go to a server that refuses them, and a release would count that never was.
 */
function isObeyed(
  order: SentOrder,
  ack: LeaseAck,
  timing: LeaseTiming,
): boolean {
  const {stamp} = order.echo;
  if (ack.stamp.boot !== stamp.boot) return false;
  if (ack.stamp.ms >= stamp.ms + timing.ttlMs) return false;
  if (ack.fence?.epoch !== order.fence.epoch) return false;
  if (ack.fence.sequence !== order.fence.sequence) return false;
  if (ack.shards.length !== order.shards.size) return false;
  return ack.shards.every(shard => order.shards.has(shard));
}

function createGrant(
  order: SentOrder,
  newest: Reading,
  timing: LeaseTiming,
): Grant {
  const {boot, ms} = newest.stamp;
  const pace = 1 - timing.drift;
  return {
    shards: order.shards,
    leaseEnd: order.surelyUntil,
    // The server read its clock before the answer arrived here, so counting
    // from the arrival errs early; so does the slower pace.
    toServerTime: localMs => ({
      boot,
      ms: ms + Math.max(0, localMs - newest.receivedAt) * pace,
    }),
  };
}
