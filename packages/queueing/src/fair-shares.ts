import {createDecayingSum} from './decaying-sum.js';
import type {FlowName} from './flows.js';

/** Service time that flows ask for and get, and their fair share of it. */
export interface FairShares {
  /** A request of the flow arrived. */
  ask(name: FlowName, costMs: number, now: number): void;
  /** A request of the flow waits or is served. */
  charge(name: FlowName, costMs: number, now: number): void;
  /** A charged request wasn't served. */
  refund(name: FlowName, costMs: number, now: number): void;
  /**
   * How one more request of the flow compares with its fair share of `slots`.
   * Always `asks-less` while all flows together ask for less than the slots
   * offer.
   */
  standing(
    name: FlowName,
    costMs: number,
    slots: number,
    now: number,
  ): Standing;
  /** Part of what the flow asks for that its fair share covers, 0 to 1. */
  entitledPart(name: FlowName, slots: number, now: number): number;
  /** Number of slots that all flows together ask for. */
  slotsAsked(now: number): number;
  /** Flows that got the most service time, most first. */
  largest(count: number, now: number): readonly FlowShare[];
}

/**
 * Whether a flow asks for less than its fair share; if not, whether it got less
 * so far.
 */
export type Standing = 'asks-less' | 'got-less' | 'got-more';

/** What a flow asked for and got. */
export interface FlowShare {
  readonly name: string;
  /** Mean number of slots that it asked for. */
  readonly slotsAsked: number;
  /** Mean number of slots that it has, requests that wait included. */
  readonly slotsTaken: number;
}

/** Sums that decay; plain numbers, as there are many at a time. */
interface Usage {
  askedMs: number;
  takenMs: number;
  /** Time of the last decay, in ms. */
  at: number;
}

/**
 * Time constant of the history, in ms. It covers the retries of a caller, and
 * some requests of each flow at a server with few slots.
 */
const HISTORY_MS = 2_000;
/**
 * A flow may exceed its share by this many requests and one standard deviation
 * of their number. Arrivals vary by as much by chance.
 */
const BURST = 2;
/** Interval at which the fair share is computed again, in ms. */
const LEVEL_TTL_MS = 100;
/**
 * With many flows and few requests, it is computed less often: at most this many
 * flows are read for each request, but after this time in any case, in ms.
 */
const FLOWS_PER_ASK = 8;
const MAX_LEVEL_TTL_MS = 1_000;
/** Relative change of the slots at which it is computed earlier. */
const SLOTS_TOLERANCE = 0.1;
/** Requests between two cleanups of flows that no longer send any. */
const ASKS_PER_CLEAN_UP = 128;
/** Service time below which a flow is forgotten, in ms. */
const FORGOTTEN_MS = 1;

/**
 * Creates an empty history. The fair share is the max-min share: flows that ask
 * for less get all of it, and the others equal parts of the rest. The memory is
 * bounded by the requests of a short time.
 *
 * @example
 * ```ts
 * const callers = createFairShares();
 * callers.ask('night-desk', 160, now);
 * const standing = callers.standing('night-desk', 160, 3, now);
 * ```
 */
export function createFairShares(): FairShares {
  const flows = new Map<FlowName, Usage>();
  const totalMs = createDecayingSum(HISTORY_MS, 0);
  let asks = 0;
  let asksSinceLevel = 0;
  /** The flow that was used last, as its calls follow each other. */
  let lastName: FlowName | null = null;
  let lastUsage: Usage | null = null;
  let level = {maxMs: Infinity, slots: 0, at: -Infinity};

  const usageOf = (name: FlowName, now: number): Usage => {
    if (name === lastName && lastUsage !== null) return decay(lastUsage, now);
    let usage = flows.get(name);
    if (usage === undefined) {
      usage = {askedMs: 0, takenMs: 0, at: now};
      flows.set(name, usage);
    }
    lastName = name;
    lastUsage = usage;
    return decay(usage, now);
  };

  const cleanUp = (now: number): void => {
    asks = 0;
    lastUsage = null;
    for (const [name, usage] of flows) {
      const {askedMs, takenMs} = decay(usage, now);
      if (Math.max(askedMs, takenMs) < FORGOTTEN_MS) flows.delete(name);
    }
  };

  const levelFor = (slots: number, now: number): number => {
    if (totalMs.value(now) <= slots * HISTORY_MS) return Infinity;
    // Computing the level reads and sorts all flows, so it is kept for a while.
    const isClose = Math.abs(level.slots - slots) <= slots * SLOTS_TOLERANCE;
    const ageMs = now - level.at;
    const isFresh =
      ageMs < LEVEL_TTL_MS ||
      (asksSinceLevel * FLOWS_PER_ASK < flows.size && ageMs < MAX_LEVEL_TTL_MS);
    if (isClose && isFresh) return level.maxMs;
    asksSinceLevel = 0;
    const asked = [...flows.values()].map(usage => decay(usage, now).askedMs);
    level = {maxMs: fairLevel(asked, slots * HISTORY_MS), slots, at: now};
    return level.maxMs;
  };

  return {
    ask(name, costMs, now) {
      usageOf(name, now).askedMs += costMs;
      totalMs.add(costMs, now);
      asksSinceLevel++;
      if (++asks >= ASKS_PER_CLEAN_UP) cleanUp(now);
    },
    charge(name, costMs, now) {
      usageOf(name, now).takenMs += costMs;
    },
    refund(name, costMs, now) {
      const usage = usageOf(name, now);
      usage.takenMs = Math.max(0, usage.takenMs - costMs);
    },
    standing(name, costMs, slots, now) {
      // A sole flow competes with none.
      if (flows.size <= 1) return 'asks-less';
      const levelMs = levelFor(slots, now);
      const maxMs = levelMs + BURST * costMs + Math.sqrt(levelMs * costMs);
      const {askedMs, takenMs} = usageOf(name, now);
      if (askedMs <= maxMs) return 'asks-less';
      return takenMs + costMs <= maxMs ? 'got-less' : 'got-more';
    },
    entitledPart(name, slots, now) {
      if (flows.size <= 1) return 1;
      const {askedMs} = usageOf(name, now);
      return Math.min(1, levelFor(slots, now) / Math.max(1, askedMs));
    },
    slotsAsked: now => totalMs.value(now) / HISTORY_MS,
    largest(count, now) {
      const shares = [...flows].map(([name, usage]) => {
        const {askedMs, takenMs} = decay(usage, now);
        const slotsAsked = askedMs / HISTORY_MS;
        return {
          name: String(name),
          slotsAsked,
          slotsTaken: takenMs / HISTORY_MS,
        };
      });
      return shares.sort((a, b) => b.slotsTaken - a.slotsTaken).slice(0, count);
    },
  };
}

function decay(usage: Usage, now: number): Usage {
  if (now === usage.at) return usage;
  const factor = Math.exp((usage.at - now) / HISTORY_MS);
  usage.askedMs *= factor;
  usage.takenMs *= factor;
  usage.at = now;
  return usage;
}

/**
 * The highest amount that a flow may get so that all get `total`; infinite if
 * they ask for less.
 */
function fairLevel(asked: readonly number[], total: number): number {
  const ascending = [...asked].sort((a, b) => a - b);
  let left = total;
  for (const [at, each] of ascending.entries()) {
    const share = left / (ascending.length - at);
    if (each > share) return share;
    left -= each;
  }
  return Infinity;
}
