import {storeEpochOfFence, storeEpochOfTerm} from './fence.js';
import type {LiveHolding, Standing} from './live-holding.js';
import type {Holding, RangeTable} from './table.js';

/** A holding that a leader takes over, and what is known of its server. */
export interface InheritedHolding {
  readonly holding: Holding;
  readonly standing: Standing;
  /** See `LiveHolding.confirmBy`. */
  readonly confirmBy: number;
}

/**
 * What a leader takes over from a table in the store. A holding whose fence is
 * of an earlier epoch of the store's history may have moved since, by a record
 * that the store lost.
 *
 * @example
 * ```ts
 * const inherited = inheritRecorded(table, termEpoch);
 * ```
 */
export function inheritRecorded(
  {holdings}: RangeTable,
  termEpoch: number,
): readonly InheritedHolding[] {
  return holdings.map(holding => ({
    holding,
    standing: isCurrent(holding, termEpoch) ? 'recorded' : 'unknown',
    confirmBy: Infinity,
  }));
}

/** Whether a table was written since the store was restored last. */
export function isRecordedSinceRestore(
  {holdings}: RangeTable,
  termEpoch: number,
): boolean {
  return holdings.some(holding => isCurrent(holding, termEpoch));
}

function isCurrent({fence}: Holding, termEpoch: number): boolean {
  return storeEpochOfFence(fence) === storeEpochOfTerm(termEpoch);
}

/**
 * What a leader takes over from its own last term, which the store lost. A
 * holding that went to another server without a record is not known: the record
 * may have been written all the same. `actUntil` is when that term's authority
 * ends, in wakeful ms.
 */
export function inheritRemembered(
  lives: readonly LiveHolding[],
  actUntil: number,
): readonly InheritedHolding[] {
  return lives.map(live => {
    const {holding, standing, phase, isServed} = live;
    const isUnrecorded = phase === 'waiting' && !isServed;
    const isKnown = standing !== 'unknown' && !isUnrecorded;
    return {
      holding,
      standing: isKnown ? 'remembered' : 'unknown',
      confirmBy: Math.min(live.confirmBy, actUntil),
    };
  });
}
