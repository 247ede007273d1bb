/** A row of a table in Markdown. */
export type Row = readonly string[];

/** A table in Markdown. */
export function table(head: Row, rows: readonly Row[]): string {
  const line = (cells: Row): string => `| ${cells.join(' | ')} |`;
  return [line(head), line(head.map(() => '---')), ...rows.map(line)].join(
    '\n',
  );
}

/** Two or three digits that mean something. */
export function figure(value: number): string {
  if (value === 0) return '0';
  const text = Number(value.toPrecision(Math.abs(value) >= 100 ? 3 : 2));
  return text.toLocaleString('en-GB', {maximumSignificantDigits: 3});
}

/** Processor time a second, as a share of a core. */
export function share(cpuUs: number): string {
  return `${figure(cpuUs / 10_000)} %`;
}

/** How many times a budget; bold where it is missed. */
export function times(ratio: number): string {
  return ratio <= 1 ? figure(ratio) : `**${figure(ratio)}**`;
}

const UNITS = [
  [1e9, 'GB'],
  [1e6, 'MB'],
  [1e3, 'kB'],
] as const;

/** Bytes with their unit. */
export function size(bytes: number): string {
  const unit = UNITS.find(([least]) => bytes >= least);
  return unit ? `${figure(bytes / unit[0])} ${unit[1]}` : `${figure(bytes)} B`;
}
