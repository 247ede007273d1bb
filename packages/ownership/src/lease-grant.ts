import type {ShardId} from '@banyandrum/base/ids.js';
import type {LeaseAck, Stamp} from '@banyandrum/servers/client.js';
import type {ClockReading, SentOrder} from './lease-holding.js';
import type {LeaseTiming} from './lease-timing.js';

/** A lease that requests can be dispatched under. */
export interface Grant {
  readonly shards: ReadonlySet<ShardId>;
  /** Local time up to which the server surely obeys it. */
  readonly leaseEnd: number;
  /** Converts a local time into the server's own clock, erring early. */
  readonly toServerTime: (localMs: number) => Stamp;
}

/**
 * The grant that an order came to, once the server obeyed it; `newest` is the
 * reading in the server's answer.
 *
 * @example
 * ```ts
 * const {leaseEnd, toServerTime} = createGrant(order, newest, timing);
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
    // The server read its clock before the answer arrived here, so counting
    // from the arrival errs early; so does the slower pace.
    toServerTime: localMs => ({
      boot,
      ms: ms + Math.max(0, localMs - latestReading.receivedAt) * slowestRate,
    }),
  };
}

/**
 * Whether the server's answer proves that it obeyed the order. A server at
 * which the echo had lapsed answers too; taken for obedience, requests would
 * go to a server that refuses them, and a release would count that never was.
 *
 * @example
 * ```ts
 * if (!isObeyed(order, ack, timing)) holding.noteRefused(order);
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
