/** Counts of relative times in bins of equal width on a logarithmic scale. */
export type SpreadCounts = readonly number[];

/** Spread of measured times relative to the usual time. */
export interface Spread {
  /** Counts a measured time, relative to the usual time. */
  add(ratio: number): void;
  /** Number of times counted; halved now and then. */
  total(): number;
  /** Equally probable quantiles, in order; empty without times. */
  quantiles(): readonly number[];
  counts(): SpreadCounts;
  /** Replaces the counts by those of another instance. */
  replace(counts: SpreadCounts): void;
}

/** Lower bound of the first bin; the last bin ends at its inverse. */
const MIN_RATIO = 1 / 16;
/** Number of bins; adjacent bounds differ by 12 %. */
const BIN_COUNT = 48;
const BIN_WIDTH = (2 * Math.log(1 / MIN_RATIO)) / BIN_COUNT;
/** Counts are halved at this total, so that the spread follows changes. */
const MAX_TOTAL = 4_000;
/** Number of quantiles. */
const QUANTILE_COUNT = 20;

/**
 * Creates an empty spread of fixed size.
 *
 * @example
 * ```ts
 * const spread = createSpread();
 * spread.add(tookMs / usualMs);
 * spread.quantiles(); // [0.41, 0.52, …, 2.3]
 * ```
 */
export function createSpread(): Spread {
  let bins = new Array<number>(BIN_COUNT).fill(0);
  let total = 0;

  const replaceBins = (next: number[]): void => {
    bins = next;
    total = next.reduce((sum, count) => sum + count, 0);
  };

  return {
    add(ratio) {
      const at = Math.floor(Math.log(ratio / MIN_RATIO) / BIN_WIDTH);
      bins[Math.min(BIN_COUNT - 1, Math.max(0, at))]! += 1;
      total++;
      if (total >= MAX_TOTAL) replaceBins(bins.map(count => count / 2));
    },
    total: () => total,
    quantiles() {
      if (total === 0) return [];
      return Array.from({length: QUANTILE_COUNT}, (_, at) =>
        quantileOf(bins, ((at + 0.5) / QUANTILE_COUNT) * total),
      );
    },
    counts: () => bins.map(Math.round),
    replace(counts) {
      if (counts.length === BIN_COUNT) replaceBins([...counts]);
    },
  };
}

/** Returns the ratio below which `rank` of the counted times are. */
function quantileOf(bins: readonly number[], rank: number): number {
  let below = 0;
  for (const [at, count] of bins.entries()) {
    if (below + count >= rank && count > 0) {
      const position = at + (rank - below) / count;
      return MIN_RATIO * Math.exp(position * BIN_WIDTH);
    }
    below += count;
  }
  return 1 / MIN_RATIO;
}
