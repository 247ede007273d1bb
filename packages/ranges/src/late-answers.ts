import {maxRate, type ServerSpeed} from './server-speed.js';

/** How long the requests of a service take, and how long they may take. */
export interface LatencyProfile {
  /**
   * Kinds of requests: share of all, mean work relative to the service's mean,
   * target latency in ms.
   */
  readonly kinds: readonly {
    readonly share: number;
    readonly relativeWork: number;
    readonly targetMs: number;
  }[];
  /** Equally probable quantiles of a time relative to its mean, in order. */
  readonly spread: readonly number[];
}

/** Expected late answers of servers under a latency profile. */
export interface LateAnswers {
  /**
   * Answers per second after their target latency, at a request rate per
   * second. Increasing and convex in the rate.
   */
  perSecond(server: ServerSpeed, rate: number): number;
}

/** Utilizations at which late answers are computed; linear between them. */
const STEPS = 32;
/** Quantiles of the spread that are used: more would not change a decision. */
const MAX_QUANTILES = 12;
/** Servers whose service times differ by less share a table, as a ratio. */
const CLASS_RATIO = 1.06;

/** Late answers at each step of utilization, as a fraction of the capacity. */
type LateTable = Float64Array;

/** A profile with few quantiles, and what is derived from it. */
interface PreparedProfile extends LatencyProfile {
  readonly meanSquare: number;
}

const knownProfiles = new WeakMap<LatencyProfile, LateAnswers>();

/**
 * Returns the late answers under a profile. The tables of a profile are kept as
 * long as the object, so an unchanged profile should be the same object.
 *
 * @example
 * ```ts
 * const late = lateAnswersOf(profile);
 * late.perSecond({slots: 3, serviceMs: 250}, 8);
 * ```
 */
export function lateAnswersOf(profile: LatencyProfile): LateAnswers {
  const known = knownProfiles.get(profile);
  if (known !== undefined) return known;
  const created = createLateAnswers(profile);
  knownProfiles.set(profile, created);
  return created;
}

function createLateAnswers({kinds, spread}: LatencyProfile): LateAnswers {
  const grouped = {kinds, spread: groupQuantiles(spread)};
  const profile = {...grouped, meanSquare: meanSquareOf({kinds, spread})};
  const tables = new Map<number, Map<number, LateTable>>();
  const tableOf = ({slots, serviceMs}: ServerSpeed): LateTable => {
    const speed = Math.round(Math.log(serviceMs) / Math.log(CLASS_RATIO));
    const bySpeed = tables.get(slots) ?? new Map<number, LateTable>();
    tables.set(slots, bySpeed);
    const known = bySpeed.get(speed);
    if (known !== undefined) return known;
    const table = createTable(profile, {
      slots,
      serviceMs: CLASS_RATIO ** speed,
    });
    bySpeed.set(speed, table);
    return table;
  };
  return {
    perSecond(server, rate) {
      if (rate <= 0) return 0;
      const capacity = maxRate(server);
      return capacity * interpolate(tableOf(server), rate / capacity);
    },
  };
}

/** Reduces the quantiles to means of equally large groups. */
function groupQuantiles(spread: readonly number[]): readonly number[] {
  if (spread.length <= MAX_QUANTILES) return spread;
  return Array.from({length: MAX_QUANTILES}, (_, at) => {
    const from = Math.floor((at * spread.length) / MAX_QUANTILES);
    const to = Math.floor(((at + 1) * spread.length) / MAX_QUANTILES);
    const group = spread.slice(from, to);
    return group.reduce((sum, each) => sum + each, 0) / group.length;
  });
}

/**
 * Computes the late answers by utilization. The slope rises up to 1, where each
 * further request is late: a queue that refuses what it can't serve in time
 * keeps the rate of answers on time at its maximum.
 */
function createTable(profile: PreparedProfile, server: ServerSpeed): LateTable {
  const table = new Float64Array(STEPS + 1);
  let slope = 0;
  let previous = 0;
  for (let step = 1; step <= STEPS; step++) {
    const load = step / STEPS;
    const late = load * lateShare(profile, server, load);
    slope = Math.min(1, Math.max(slope, (late - previous) * STEPS));
    previous = late;
    table[step] = table[step - 1]! + slope / STEPS;
  }
  return table;
}

/** Late answers at a utilization; beyond the capacity, each further one is. */
function interpolate(table: LateTable, load: number): number {
  if (load >= 1) return table[STEPS]! + load - 1;
  const step = Math.floor(load * STEPS);
  const weight = load * STEPS - step;
  return table[step]! * (1 - weight) + table[step + 1]! * weight;
}

/** The share of requests that are answered late at a utilization from 0 to 1. */
function lateShare(
  {kinds, spread, meanSquare}: PreparedProfile,
  {slots, serviceMs}: ServerSpeed,
  load: number,
): number {
  if (load >= 1) return 1;
  const waitShare = shareThatWaits(slots, load);
  // The M/G/k approximation of the mean wait of those that wait.
  const meanWaitMs = (serviceMs * meanSquare) / 2 / (slots * (1 - load));
  let late = 0;
  for (const {share, relativeWork, targetMs} of kinds) {
    for (const quantile of spread) {
      const leftMs = targetMs - serviceMs * relativeWork * quantile;
      const isLate =
        leftMs <= 0 ? 1 : waitShare * Math.exp(-leftMs / meanWaitMs);
      late += (share * isLate) / spread.length;
    }
  }
  return late;
}

/** Mean square of a time relative to its mean. */
function meanSquareOf({kinds, spread}: LatencyProfile): number {
  const ofKinds = kinds.reduce(
    (sum, {share, relativeWork}) => sum + share * relativeWork ** 2,
    0,
  );
  const ofSpread = spread.reduce((sum, each) => sum + each ** 2, 0);
  return (ofKinds * ofSpread) / spread.length;
}

/** The share of requests that wait for a slot: Erlang's C formula. */
function shareThatWaits(slots: number, load: number): number {
  let blocked = 1;
  for (let slot = 1; slot <= slots; slot++) {
    const offered = slots * load * blocked;
    blocked = offered / (slot + offered);
  }
  return blocked / (1 - load * (1 - blocked));
}
