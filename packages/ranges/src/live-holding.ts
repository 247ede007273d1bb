import type {Holding, KeyRange} from './table.js';

/** What a leader knows of a holding's server. */
export type Standing =
  /** Recorded in the store's present history. */
  | 'recorded'
  /**
   * Known from this router's term before the store was restored, under the
   * fence of that term.
   */
  | 'remembered'
  /** The record may be outdated: another server may hold the range. */
  | 'unknown';

/** A holding as its leader keeps it. */
export interface LiveHolding {
  holding: Holding;
  standing: Standing;
  /** `waiting`: for its record; `moving`: to another server. */
  phase: 'waiting' | 'held' | 'moving';
  /** Whether requests may go to the server. */
  isServed: boolean;
  /** A grant is under way; orders on one holding must not overtake another. */
  order: Promise<void> | null;
  /** Monotonic time of the next grant, in ms. */
  renewAt: number;
  /** By this monotonic time the server's hold has surely ended, in ms. */
  lapseAt: number;
  /** Until then a grant without an answer may still be carried out, in ms. */
  unprovedUntil: number;
  /**
   * Until then an earlier leader's grant may still be carried out, in ms; 0
   * once the server has seen a fence of this leader's for the range.
   */
  foreignUntil: number;
  /**
   * A remembered holding must be confirmed by then, in wakeful ms: this router's
   * authority in its term before the restore ends.
   */
  confirmBy: number;
}

/** A holding that nobody has granted yet. */
export function createLive(holding: Holding, now: number): LiveHolding {
  return {
    holding,
    standing: 'recorded',
    phase: 'waiting',
    isServed: false,
    order: null,
    renewAt: now,
    lapseAt: now,
    unprovedUntil: 0,
    foreignUntil: 0,
    confirmBy: Infinity,
  };
}

/** Whether the server surely holds it, and nothing is under way that moves it. */
export function isSettled(live: LiveHolding, now: number): boolean {
  const {phase, standing, isServed, unprovedUntil} = live;
  if (phase !== 'held' || standing !== 'recorded') return false;
  return isServed && unprovedUntil <= now;
}

/** A part of a holding that the same server goes on holding. */
export function createPart(
  whole: LiveHolding,
  {from, to}: KeyRange,
  fence: number,
  now: number,
): LiveHolding {
  return {
    ...whole,
    holding: {...whole.holding, from, to, fence},
    phase: 'waiting',
    order: null,
    renewAt: now,
  };
}

/** Two neighbours of one server as one holding. */
export function createMerged(
  left: LiveHolding,
  right: LiveHolding,
  fence: number,
  now: number,
): LiveHolding {
  return {
    ...left,
    holding: {...left.holding, to: right.holding.to, fence, handover: null},
    phase: 'waiting',
    order: null,
    renewAt: now,
    lapseAt: Math.max(left.lapseAt, right.lapseAt),
    unprovedUntil: Math.max(left.unprovedUntil, right.unprovedUntil),
    foreignUntil: Math.max(left.foreignUntil, right.foreignUntil),
  };
}
