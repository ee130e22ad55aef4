/** Part of `values` that are at most `limit`; NaN without values. */
export function shareWithin(values: readonly number[], limit: number): number {
  return values.filter((value) => value <= limit).length / values.length;
}
