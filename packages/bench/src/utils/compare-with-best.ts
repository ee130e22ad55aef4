import type { Comparison } from '../types/comparison.ts';
import type { ResultRow } from '../types/result-row.ts';
import type { ResultTable } from '../types/result-table.ts';
import { percentile } from './percentile.ts';

/**
 * Returns the median, minimum and maximum over the seeds of the ratio of a policy to its best
 * baseline.
 */
export function compareWithBest(
  tables: readonly ResultTable[],
  { policy, baselines, values }: Comparison,
): readonly ResultRow[] {
  return Object.entries(values).map(([name, better]) => {
    const ratios = tables.map(({ rows }) => {
      const valueFor = (policyName: string): number =>
        rows.find((row) => row.policy === policyName)?.values[name] ?? Number.NaN;
      const baselineValues = baselines.map(valueFor);
      const best = better === 'lower' ? Math.min(...baselineValues) : Math.max(...baselineValues);
      return valueFor(policy) / best;
    });
    return {
      policy: `${policy}: ${name} (${better} is better)`,
      values: {
        median: percentile(ratios, 0.5),
        least: Math.min(...ratios),
        greatest: Math.max(...ratios),
      },
    };
  });
}
