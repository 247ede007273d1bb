/** Keys are the integers from 0 to this one. */
export const MAX_KEY = 65_535;
export const KEY_COUNT = MAX_KEY + 1;

/** Keys from `from` to `to`, both included. */
export interface KeyRange {
  readonly from: number;
  readonly to: number;
}

/** A range and the server that may hold it. */
export interface RangeAssignment extends KeyRange {
  /** The server's id; null where no server may hold the range. */
  readonly server: string | null;
  /** `ip:port` of that server. */
  readonly address: string;
  /** Rises with each holding that a key was ever part of. */
  readonly fence: number;
  /** What the last holder gave back, for the next one. */
  readonly handover: string | null;
}

/** Who may hold a service's keys; the holdings cover all keys in order. */
export interface RangeTable {
  readonly service: string;
  readonly assignments: readonly RangeAssignment[];
}

/** A range as routers see it: the server that serves it, or null. */
export interface ServedRange extends KeyRange {
  readonly server: string | null;
}

/** The item of sorted, gapless ranges that holds `key`. */
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

/** Cuts all keys into `count` ranges of about the same size. */
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
