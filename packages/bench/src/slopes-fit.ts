/** One measured pair. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** What a role costs by size, with the line that fits best. */
export interface Series {
  readonly name: string;
  /** What the size counts, such as `cells`. */
  readonly of: string;
  /** Unit of the cost, such as `us`. */
  readonly unit: string;
  readonly points: readonly Point[];
  /** Cost of one more of the size. */
  readonly slope: number;
  /** Standard error of the slope. */
  readonly error: number;
  /** Cost at size 0. */
  readonly base: number;
}

/**
 * Fits a line by least squares. Repeated runs at one size are points of their
 * own, so the error holds their spread.
 *
 * @example
 * ```ts
 * fitSeries('views heap', 'cells', 'B', points).slope; // bytes a cell
 * ```
 */
export function fitSeries(
  name: string,
  of: string,
  unit: string,
  points: readonly Point[],
): Series {
  const n = points.length;
  const meanX = sum(points.map(({x}) => x)) / n;
  const meanY = sum(points.map(({y}) => y)) / n;
  const spreadX = sum(points.map(({x}) => (x - meanX) ** 2));
  const joint = sum(points.map(({x, y}) => (x - meanX) * (y - meanY)));
  const slope = spreadX === 0 ? 0 : joint / spreadX;
  const base = meanY - slope * meanX;
  const rest = sum(points.map(({x, y}) => (y - base - slope * x) ** 2));
  const error =
    spreadX === 0 ? 0 : Math.sqrt(rest / Math.max(1, n - 2) / spreadX);
  return {name, of, unit, points, slope, error, base};
}

/** The cost at a size, by the fitted line. */
export function at(series: Series, x: number): number {
  return series.base + series.slope * x;
}

/** The mean cost, for what does not depend on the size. */
export function meanOf(series: Series): number {
  return sum(series.points.map(({y}) => y)) / series.points.length;
}

/** The share of one in a cost that grows in proportion. */
export function perUnit(series: Series): number {
  const {points} = series;
  return sum(points.map(({y}) => y)) / sum(points.map(({x}) => x));
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
