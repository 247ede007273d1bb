import type {ServerLoad, ServerLoads} from './carriers.js';

/** Whether a shard may go from one server to another for balance. */
export type MoveFilter = (
  from: ServerLoad,
  to: ServerLoad,
  carriers: ServerLoads,
) => boolean;

/**
 * A server that is less busy than this share of its capacity gives nothing
 * away for its load: its requests hardly wait, and a move stops them.
 */
const MIN_DONOR_UTILIZATION = 0.3;

/** The least gap between two servers' utilisation that is worth a move. */
const MIN_UTILIZATION_GAP = 0.1;

/** A gap is clear from so many standard errors on. */
const MIN_STANDARD_ERRORS = 3;

/**
 * Over how long a load is averaged, as far as its variance goes: twice the
 * time constants of the meter (10 s) and of the smoothing (7 s) together.
 */
const AVERAGING_WINDOW_MS = 34_000;

/** A server short of shards has less than this part of its fair share. */
const TOO_FEW_SHARE = 0.5;

/** A server is crowded with more than this many times its fair share. */
const TOO_MANY_FACTOR = 2;

/**
 * Whether the load of two servers differs clearly: the giver is really busy,
 * and the gap is more than requests that come and last at random explain.
 * Loads of a service that is hardly used are all chance: moving its shards
 * after them went on for ever.
 */
export function isImbalanceSignificant(from: ServerLoad, to: ServerLoad): boolean {
  if (utilization(from) < MIN_DONOR_UTILIZATION) return false;
  const gap = utilization(from) - utilization(to);
  const error = Math.sqrt(variance(from) + variance(to));
  return gap >= Math.max(MIN_UTILIZATION_GAP, MIN_STANDARD_ERRORS * error);
}

/**
 * Whether a server has so few shards that it must have come after the
 * others. Their number is no matter of chance. One that is busy all the same
 * has few shards because they are heavy.
 */
export function hasTooFew(to: ServerLoad, carriers: ServerLoads): boolean {
  const all = [...carriers.byName.values()];
  const capacity = sum(all, ({candidate}) => candidate.capacity);
  const fair = fairShardCount(to, carriers);
  const mean = sum(all, ({busy}) => busy) / capacity;
  return to.shardCount < fair * TOO_FEW_SHARE && utilization(to) <= mean;
}

/** Whether a server has more than twice its fair share of the shards. */
export function hasTooMany(from: ServerLoad, carriers: ServerLoads): boolean {
  return from.shardCount > fairShardCount(from, carriers) * TOO_MANY_FACTOR;
}

function fairShardCount({usableCapacity: room}: ServerLoad, {byName}: ServerLoads): number {
  const all = [...byName.values()];
  const total = sum(all, carrier => carrier.usableCapacity);
  return (sum(all, ({shardCount: count}) => count) * room) / total;
}

function utilization({busy, candidate}: ServerLoad): number {
  return busy / candidate.capacity;
}

/** Of the utilisation, for exponential service times and Poisson arrivals. */
function variance({busy, candidate}: ServerLoad): number {
  const {capacity, serviceMs = 0} = candidate;
  return (2 * busy * serviceMs) / AVERAGING_WINDOW_MS / capacity ** 2;
}

function sum(
  carriers: readonly ServerLoad[],
  value: (carrier: ServerLoad) => number,
): number {
  return carriers.reduce((total, carrier) => total + value(carrier), 0);
}
