/** Value below which the part `part` of `values` lies; NaN without values. */
export function percentile(values: readonly number[], part: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(part * sorted.length))] ?? Number.NaN;
}
