// eslint-disable-next-line no-control-regex
const CONTROL = /[\u0000-\u001f\u007f-\u009f]/g;

/**
 * Replaces control characters in untrusted text, which could otherwise change
 * what the terminal displays.
 */
export function plain(text: string): string {
  return text.replace(CONTROL, '?');
}

/**
 * Formats rows as aligned columns without trailing blanks.
 *
 * @example
 * ```ts
 * formatTable([['HOST', 'VERSION'], ['entry-1', '17']]);
 * ```
 */
export function formatTable(rows: readonly (readonly string[])[]): string {
  const cleaned = rows.map(row => row.map(plain));
  const widths: number[] = [];
  for (const row of cleaned) {
    row.forEach((cell, index) => {
      widths[index] = Math.max(widths[index] ?? 0, cell.length);
    });
  }
  return cleaned
    .map(row => row.map((cell, index) => cell.padEnd(widths[index] ?? 0)))
    .map(row => `${row.join('  ').trimEnd()}\n`)
    .join('');
}

/** Formats a value as one line of JSON. */
export function formatJson(value: unknown): string {
  return `${JSON.stringify(value)}\n`;
}

/** Formats an age for display: `840 ms`, `12.3 s`; `never` for null. */
export function formatAge(ageMs: number | null): string {
  if (ageMs === null) return 'never';
  if (ageMs < 1_000) return `${Math.round(ageMs)} ms`;
  return `${(ageMs / 1_000).toFixed(1)} s`;
}
