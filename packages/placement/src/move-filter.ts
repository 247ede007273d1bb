import type {ServerLoad, ServerLoads} from './server-loads.js';

/** Whether a shard may move from one server to another for balance. */
export type MoveFilter = (
  from: ServerLoad,
  to: ServerLoad,
  servers: ServerLoads,
) => boolean;

/**
 * Shards don't move off a server to balance load while its utilization is below
 * this: its requests hardly wait, and a move would interrupt them.
 */
const MIN_DONOR_UTILIZATION = 0.3;

/** Minimum difference of two servers' utilization that justifies a move. */
const MIN_UTILIZATION_GAP = 0.1;

/** Number of standard errors from which a difference is significant. */
const MIN_STANDARD_ERRORS = 3;

/**
 * Effective averaging window of a load for its variance: twice the sum of the
 * time constants of the meter (10 s) and of the smoothing (7 s).
 */
const AVERAGING_WINDOW_MS = 34_000;

/** A server with less than this part of its fair share has too few shards. */
const TOO_FEW_SHARE = 0.5;

/** A server with more than this multiple of its share has too many shards. */
const TOO_MANY_FACTOR = 2;

/**
 * Whether the loads of two servers differ significantly: the donor is busy, and
 * the difference is larger than random arrivals and service times explain. The
 * loads of a rarely used service are mostly noise, and following them moved its
 * shards back and forth indefinitely.
 */
export function isImbalanceSignificant(
  from: ServerLoad,
  to: ServerLoad,
): boolean {
  if (utilization(from) < MIN_DONOR_UTILIZATION) return false;
  const gap = utilization(from) - utilization(to);
  const error = Math.sqrt(variance(from) + variance(to));
  return gap >= Math.max(MIN_UTILIZATION_GAP, MIN_STANDARD_ERRORS * error);
}

/**
 * Whether a server has so few shards that it must have joined after the others.
 * Unlike its load, the number of its shards is not random. A server that is
 * busy nevertheless has few shards because they are heavy.
 */
export function hasTooFew(to: ServerLoad, servers: ServerLoads): boolean {
  const all = [...servers.byName.values()];
  const capacity = sum(all, ({candidate}) => candidate.capacity);
  const fair = fairShardCount(to, servers);
  const mean = sum(all, ({busy}) => busy) / capacity;
  return to.shardCount < fair * TOO_FEW_SHARE && utilization(to) <= mean;
}

/** Whether a server has more than twice its fair share of shards. */
export function hasTooMany(from: ServerLoad, servers: ServerLoads): boolean {
  return from.shardCount > fairShardCount(from, servers) * TOO_MANY_FACTOR;
}

function fairShardCount(
  {usableCapacity}: ServerLoad,
  {byName}: ServerLoads,
): number {
  const all = [...byName.values()];
  const total = sum(all, server => server.usableCapacity);
  return (sum(all, ({shardCount}) => shardCount) * usableCapacity) / total;
}

function utilization({busy, candidate}: ServerLoad): number {
  return busy / candidate.capacity;
}

/**
 * Variance of the utilization, for Poisson arrivals and exponential service
 * times.
 */
function variance({busy, candidate}: ServerLoad): number {
  const {capacity, serviceMs = 0} = candidate;
  return (2 * busy * serviceMs) / AVERAGING_WINDOW_MS / capacity ** 2;
}

function sum(
  servers: readonly ServerLoad[],
  value: (server: ServerLoad) => number,
): number {
  return servers.reduce((total, server) => total + value(server), 0);
}
