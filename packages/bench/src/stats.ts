/**
 * The value below which a share of the values lie; 0 without values.
 *
 * @example
 * ```ts
 * percentile([5, 1, 3], 0.5); // 3
 * ```
 */
export function percentile(values: readonly number[], share: number): number {
  if (values.length === 0) return 0;
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.ceil(share * sorted.length) - 1;
  return sorted[Math.max(0, index)]!;
}
