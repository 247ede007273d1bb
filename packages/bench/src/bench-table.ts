/** One line of a table, by column; numbers are shown to three digits. */
export type Row = Readonly<Record<string, string | number>>;

const DIGITS = 3;
const GAP = '  ';

/**
 * Formats rows as a table with the first row's columns.
 *
 * @example
 * ```ts
 * formatTable([{path: 'direct', 'p99 ms': 1.2345}]);
 * ```
 */
export function formatTable(rows: readonly Row[]): string {
  const columns = Object.keys(rows[0] ?? {});
  const lines = [columns, ...rows.map(row => columns.map(show(row)))];
  const widths = columns.map((_, at) =>
    Math.max(...lines.map(line => line[at]!.length)),
  );
  return lines
    .map(line => line.map((cell, at) => pad(cell, widths[at]!, at)).join(GAP))
    .join('\n');
}

function show(row: Row): (column: string) => string {
  return column => {
    const value = row[column] ?? '';
    return typeof value === 'string' ? value : round(value);
  };
}

function round(value: number): string {
  if (!Number.isFinite(value)) return '-';
  if (Math.abs(value) >= 100) return String(Math.round(value));
  return String(Number(value.toPrecision(DIGITS)));
}

/** Names to the left, figures to the right. */
function pad(cell: string, width: number, at: number): string {
  return at === 0 ? cell.padEnd(width) : cell.padStart(width);
}
