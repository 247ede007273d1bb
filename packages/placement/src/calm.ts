import type {Carrier, Carriers} from './carriers.js';

/** Whether a shard may go from one server to another for balance. */
export type MayMove = (
  from: Carrier,
  to: Carrier,
  carriers: Carriers,
) => boolean;

/**
 * A server that is less busy than this share of its capacity gives nothing
 * away for its load: its requests hardly wait, and a move stops them.
 */
const BUSY_SHARE = 0.3;

/** The least gap between two servers' utilisation that is worth a move. */
const LEAST_GAP = 0.1;

/** A gap is clear from so many standard errors on. */
const CLEAR = 3;

/**
 * Over how long a load is averaged, as far as its variance goes: twice the
 * time constants of the meter (10 s) and of the smoothing (7 s) together.
 */
const WINDOW_MS = 34_000;

/** A server short of shards has less than this part of its fair share. */
const SHORT_SHARE = 0.5;

/** A server is crowded with more than this many times its fair share. */
const CROWDED_SHARE = 2;

/**
 * Whether the load of two servers differs clearly: the giver is really busy,
 * and the gap is more than requests that come and last at random explain.
 * Loads of a service that is hardly used are all chance: moving its shards
 * after them went on for ever.
 */
export function isLoadClear(from: Carrier, to: Carrier): boolean {
  if (utilisation(from) < BUSY_SHARE) return false;
  const gap = utilisation(from) - utilisation(to);
  const error = Math.sqrt(variance(from) + variance(to));
  return gap >= Math.max(LEAST_GAP, CLEAR * error);
}

/**
 * Whether a server has so few shards that it must have come after the
 * others. Their number is no matter of chance. One that is busy all the same
 * has few shards because they are heavy.
 */
export function isShort(to: Carrier, carriers: Carriers): boolean {
  const all = [...carriers.byName.values()];
  const capacity = sum(all, ({candidate}) => candidate.capacity);
  const fair = fairCount(to, carriers);
  const mean = sum(all, ({busy}) => busy) / capacity;
  return to.count < fair * SHORT_SHARE && utilisation(to) <= mean;
}

/** Whether a server has more than twice its fair share of the shards. */
export function hasTooMany(from: Carrier, carriers: Carriers): boolean {
  return from.count > fairCount(from, carriers) * CROWDED_SHARE;
}

function fairCount({room}: Carrier, {byName}: Carriers): number {
  const all = [...byName.values()];
  const total = sum(all, carrier => carrier.room);
  return (sum(all, ({count}) => count) * room) / total;
}

function utilisation({busy, candidate}: Carrier): number {
  return busy / candidate.capacity;
}

/** Of the utilisation, for exponential service times and Poisson arrivals. */
function variance({busy, candidate}: Carrier): number {
  const {capacity, serviceMs = 0} = candidate;
  return (2 * busy * serviceMs) / WINDOW_MS / capacity ** 2;
}

function sum(
  carriers: readonly Carrier[],
  value: (carrier: Carrier) => number,
): number {
  return carriers.reduce((total, carrier) => total + value(carrier), 0);
}
