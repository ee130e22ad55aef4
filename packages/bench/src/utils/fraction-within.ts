/** Returns the fraction of `values` that are at most `limit`, or NaN when there are none. */
export function fractionWithin(values: readonly number[], limit: number): number {
  return values.filter((value) => value <= limit).length / values.length;
}
