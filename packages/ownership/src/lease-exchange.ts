import type {Clock} from '@banyandrum/base/clock.js';
import type {CellId, ShardId} from '@banyandrum/base/ids.js';
import type {Logger} from '@banyandrum/base/logger.js';
import type {
  LeaseAck,
  LeaseOrder,
  ServerClient,
  ServerError,
  ServerRef,
} from '@banyandrum/servers/client.js';
import type {Authority} from './authority.js';
import {withTimeout} from './condition.js';
import {type Grant, createGrant, isApplied} from './lease-grant.js';
import {
  type LeaseTracker,
  type ClockReading,
  type SentOrder,
  createSentOrder,
} from './lease-holding.js';
import type {LeaseSet} from './lease-set.js';
import type {LeaseTiming} from './lease-timing.js';

/**
 * - `ok`: the server obeyed.
 * - `again`: go on at once: its clock has been read, or it has restarted.
 * - `failed`: no answer, a refusal, or an answer that proves nothing.
 * - `no-authority`: nothing was sent.
 */
export type ExchangeOutcome = 'ok' | 'again' | 'failed' | 'no-authority';

/** Questions and orders to one server, one at a time. */
export interface LeaseExchange {
  /** Reads the server's clock, or sends an order that echoes a reading. */
  run(): Promise<ExchangeOutcome>;
  /** The lease in force as last acknowledged, or null. */
  grant(): Grant | null;
  /** When this run of the server got its first lease here, or null. */
  firstGrantAt(): number | null;
}

export interface LeaseExchangeOptions {
  readonly server: ServerRef;
  readonly authority: Authority;
  readonly client: ServerClient;
  readonly clock: Clock;
  readonly timing: LeaseTiming;
  readonly log: Logger;
  readonly signal: AbortSignal;
  readonly tracker: LeaseTracker;
  readonly set: LeaseSet;
  /** Called with what a run of the server held when first asked. */
  readonly onReport: (shards: readonly ShardId[]) => void;
}

/**
 * Makes the exchange with one server.
 *
 * @example
 * ```ts
 * const outcome = await exchange.run();
 * if (outcome === 'ok') await sleep(clock, timing.renewMs, signal);
 * ```
 */
export function createLeaseExchange(
  options: LeaseExchangeOptions,
): LeaseExchange {
  const {
    server,
    authority,
    clock,
    timing,
    signal,
    tracker: holding,
    set,
  } = options;
  const cell: CellId = authority.cell;
  let grant: Grant | null = null;
  let firstGrantAt: number | null = null;
  let reportedBoot: string | null = null;

  const run = (): Promise<ExchangeOutcome> => {
    const now = clock.now();
    // Asked in the step that sends: a leader that was paused must not order
    // with an authority that ended meanwhile.
    if (!authority.mayAct()) return Promise.resolve('no-authority');
    const echo = freshReading(holding, now, timing);
    if (echo === null) return askClock(now);
    const {fence, shards} = set.next();
    const order = createSentOrder(fence, shards, echo, now, timing);
    holding.recordSent(order);
    return sendOrder(order);
  };

  const askClock = async (askedAt: number): Promise<ExchangeOutcome> => {
    const result = await send(null);
    if (result.err) return 'failed';
    noteStamp(result.val, askedAt);
    set.raiseFenceAbove(result.val.fence);
    return 'again';
  };

  const sendOrder = async (order: SentOrder): Promise<ExchangeOutcome> => {
    const result = await send(order);
    return result.ok
      ? acknowledge(order, result.val)
      : refuse(order, result.val);
  };

  const send = (order: SentOrder | null): ReturnType<ServerClient['order']> => {
    const message: LeaseOrder = {
      cell,
      fence: order?.fence ?? set.fence(),
      ttlMs: timing.ttlMs,
      echo: order?.echo.stamp ?? null,
      shards: order === null ? [] : [...order.shards],
    };
    return withTimeout(clock, timing.orderTimeoutMs, signal, ended =>
      options.client.order(server, message, ended, authority.mayAct),
    );
  };

  const noteStamp = (ack: LeaseAck, askedAt: number): ClockReading => {
    const before = holding.lastReading();
    const {stamp} = ack;
    const reading: ClockReading = {stamp, askedAt, receivedAt: clock.now()};
    holding.recordReading(reading);
    if (before !== null && before.stamp.boot !== stamp.boot) {
      grant = null;
      firstGrantAt = null;
      options.log.info('server restarted', {cell, server: server.name});
    }
    if (reportedBoot !== stamp.boot) {
      reportedBoot = stamp.boot;
      options.onReport(ack.shards);
    }
    return reading;
  };

  const refuse = (order: SentOrder, err: ServerError): ExchangeOutcome => {
    const isRefused = err.kind === 'unreachable' || err.kind === 'fenced';
    if (isRefused) holding.recordRejected(order);
    if (err.kind !== 'fenced') return 'failed';
    const known = err.fence ?? null;
    if (known?.epoch !== authority.epoch) return 'failed';
    set.raiseFenceAbove(known);
    return 'again';
  };

  const acknowledge = (order: SentOrder, ack: LeaseAck): ExchangeOutcome => {
    const obeyed = isApplied(order, ack, timing);
    if (obeyed) holding.recordApplied(order);
    else holding.recordRejected(order);
    const reading = noteStamp(ack, order.sentAt);
    if (!obeyed) {
      const restarted = ack.stamp.boot !== order.echo.stamp.boot;
      return restarted ? 'again' : 'failed';
    }
    grant = createGrant(order, reading, timing);
    firstGrantAt ??= clock.now();
    return 'ok';
  };

  return {run, grant: () => grant, firstGrantAt: () => firstGrantAt};
}

/** A reading that still buys at least half a lease, or null. */
function freshReading(
  holding: LeaseTracker,
  now: number,
  timing: LeaseTiming,
): ClockReading | null {
  const reading = holding.lastReading();
  if (reading === null) return null;
  return now - reading.askedAt < timing.ttlMs / 2 ? reading : null;
}
