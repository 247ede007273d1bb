import type {ShardId} from '@banyandrum/base/ids.js';
import type {LeaseAck, Stamp} from '@banyandrum/servers/client.js';
import type {ClockReading, SentOrder} from './lease-holding.js';
import type {LeaseTiming} from './lease-timing.js';

/** An acknowledged lease, under which requests can be dispatched. */
export interface Grant {
  readonly shards: ReadonlySet<ShardId>;
  /** Local time until which the server is guaranteed to honour the lease. */
  readonly leaseEnd: number;
  /** Converts a local time to the server's clock; errs on the early side. */
  readonly toServerTime: (localMs: number) => Stamp;
}

/**
 * Creates the grant for an order that the server applied. `latestReading` is
 * the clock reading from the server's acknowledgement.
 *
 * @example
 * ```ts
 * const {leaseEnd, toServerTime} = createGrant(order, reading, timing);
 * ```
 */
export function createGrant(
  order: SentOrder,
  latestReading: ClockReading,
  timing: LeaseTiming,
): Grant {
  const {boot, ms} = latestReading.stamp;
  const slowestRate = 1 - timing.drift;
  return {
    shards: order.shards,
    leaseEnd: order.earliestExpiry,
    // The server read its clock before the acknowledgement arrived, so elapsed
    // time measured from the arrival is too short and the result errs early.
    // Assuming the slowest allowed rate of the server's clock does the same.
    toServerTime: localMs => ({
      boot,
      ms: ms + Math.max(0, localMs - latestReading.receivedAt) * slowestRate,
    }),
  };
}

/**
 * Whether the acknowledgement proves that the server applied the order. A
 * server also acknowledges an order whose echoed reading is older than the
 * TTL, without applying it. Treating that as applied would dispatch requests
 * to a server that rejects them, and would count a release that never happened.
 *
 * @example
 * ```ts
 * if (!isApplied(order, ack, timing)) tracker.recordRejected(order);
 * ```
 */
export function isApplied(
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
