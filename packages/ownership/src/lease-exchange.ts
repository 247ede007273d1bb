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
 * Outcome of one exchange with a server.
 *
 * - `ok`: the server applied the order.
 * - `again`: continue without delay: the server's clock has been read, the
 *   server has restarted, or the next order has a higher fence.
 * - `failed`: no answer, a rejection, or an inconclusive answer.
 * - `no-authority`: nothing was sent, as this process may not act.
 */
export type ExchangeOutcome = 'ok' | 'again' | 'failed' | 'no-authority';

/** Sends clock requests and lease orders to one server, one at a time. */
export interface LeaseExchange {
  /** Reads the server's clock, or sends an order that echoes a reading. */
  run(): Promise<ExchangeOutcome>;
  /** The lease in force as last acknowledged, or null. */
  grant(): Grant | null;
  /** When this server instance acknowledged its first lease, or null. */
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
  /** Called with the shards that a server instance holds at first contact. */
  readonly onReport: (shards: readonly ShardId[]) => void;
}

/**
 * Creates the exchange with one server.
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
  const {server, authority, clock, timing, signal, tracker, set} = options;
  const cell: CellId = authority.cell;
  let grant: Grant | null = null;
  let firstGrantAt: number | null = null;
  let reportedBoot: string | null = null;

  const run = (): Promise<ExchangeOutcome> => {
    const now = clock.now();
    // Checked in the same synchronous step that sends: a leader that was paused
    // must not send an order after its authority ended.
    if (!authority.mayAct()) return Promise.resolve('no-authority');
    const echo = freshReading(tracker, now, timing);
    if (echo === null) return requestReading(now);
    const {fence, shards} = set.next();
    const order = createSentOrder(fence, shards, echo, now, timing);
    tracker.recordSent(order);
    return sendOrder(order);
  };

  const requestReading = async (askedAt: number): Promise<ExchangeOutcome> => {
    const result = await send(null);
    if (result.err) return 'failed';
    recordStamp(result.val, askedAt);
    set.raiseFenceAbove(result.val.fence);
    return 'again';
  };

  const sendOrder = async (order: SentOrder): Promise<ExchangeOutcome> => {
    const result = await send(order);
    return result.ok
      ? handleAck(order, result.val)
      : handleError(order, result.val);
  };

  const send = (order: SentOrder | null): ReturnType<ServerClient['order']> => {
    const message: LeaseOrder = {
      cell,
      fence: order?.fence ?? set.fence(),
      ttlMs: timing.ttlMs,
      echo: order?.echo.stamp ?? null,
      shards: order === null ? [] : [...order.shards],
    };
    return withTimeout(clock, timing.orderTimeoutMs, signal, timeoutSignal =>
      options.client.order(server, message, timeoutSignal, authority.mayAct),
    );
  };

  const recordStamp = (ack: LeaseAck, askedAt: number): ClockReading => {
    const before = tracker.lastReading();
    const {stamp} = ack;
    const reading: ClockReading = {stamp, askedAt, receivedAt: clock.now()};
    tracker.recordReading(reading);
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

  const handleError = (order: SentOrder, err: ServerError): ExchangeOutcome => {
    const isNotApplied = err.kind === 'unreachable' || err.kind === 'fenced';
    if (isNotApplied) tracker.recordRejected(order);
    if (err.kind !== 'fenced') return 'failed';
    const known = err.fence ?? null;
    if (known?.epoch !== authority.epoch) return 'failed';
    set.raiseFenceAbove(known);
    return 'again';
  };

  const handleAck = (order: SentOrder, ack: LeaseAck): ExchangeOutcome => {
    const applied = isApplied(order, ack, timing);
    if (applied) tracker.recordApplied(order);
    else tracker.recordRejected(order);
    const reading = recordStamp(ack, order.sentAt);
    if (!applied) {
      const restarted = ack.stamp.boot !== order.echo.stamp.boot;
      return restarted ? 'again' : 'failed';
    }
    grant = createGrant(order, reading, timing);
    firstGrantAt ??= clock.now();
    return 'ok';
  };

  return {run, grant: () => grant, firstGrantAt: () => firstGrantAt};
}

/** The last reading if it still allows at least half a lease, or null. */
function freshReading(
  tracker: LeaseTracker,
  now: number,
  timing: LeaseTiming,
): ClockReading | null {
  const reading = tracker.lastReading();
  if (reading === null) return null;
  return now - reading.askedAt < timing.ttlMs / 2 ? reading : null;
}
