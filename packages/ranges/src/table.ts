/** Keys are the integers from 0 to this one. */
export const MAX_KEY = 65_535;
export const KEY_COUNT = MAX_KEY + 1;

/** Keys from `from` to `to`, both inclusive. */
export interface KeyRange {
  readonly from: number;
  readonly to: number;
}

/** A range and the server that may hold its lease. */
export interface RangeAssignment extends KeyRange {
  /** Id of the server instance; null if the range is assigned to no server. */
  readonly server: string | null;
  /** `ip:port` of that server. */
  readonly address: string;
  /** Fencing token; increases with every assignment that a key belongs to. */
  readonly fence: number;
  /** Opaque data from the previous server's release, passed to the next one. */
  readonly handover: string | null;
}

/** The assignments of a service; they cover all keys, in order. */
export interface RangeTable {
  readonly service: string;
  readonly assignments: readonly RangeAssignment[];
}

/** A range and the server that requests go to; null while none serves it. */
export interface ServedRange extends KeyRange {
  readonly server: string | null;
}

/** Finds the range that contains `key`; the ranges are sorted, without gaps. */
export function findRange<T extends KeyRange>(
  ranges: readonly T[],
  key: number,
): T | undefined {
  let low = 0;
  let high = ranges.length - 1;
  while (low <= high) {
    const middle = (low + high) >> 1;
    const range = ranges[middle]!;
    if (key < range.from) high = middle - 1;
    else if (key > range.to) low = middle + 1;
    else return range;
  }
  return undefined;
}

/** Splits all keys into `count` ranges of about the same size. */
export function splitEvenly(count: number): readonly KeyRange[] {
  const size = KEY_COUNT / count;
  return Array.from({length: count}, (_, at) => ({
    from: Math.round(at * size),
    to: Math.round((at + 1) * size) - 1,
  }));
}

export function rangeSize({from, to}: KeyRange): number {
  return to - from + 1;
}
