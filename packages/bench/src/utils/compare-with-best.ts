import type { Comparison } from '../types/comparison.ts';
import type { ResultRow } from '../types/result-row.ts';
import type { ResultTable } from '../types/result-table.ts';
import { percentile } from './percentile.ts';

/** Ratios of a policy to the best of its baselines, seed by seed: median, least and greatest. */
export function compareWithBest(
  tables: readonly ResultTable[],
  { policy, baselines, values }: Comparison,
): readonly ResultRow[] {
  return Object.entries(values).map(([name, better]) => {
    const ratios = tables.map(({ rows }) => {
      const of = (wanted: string): number =>
        rows.find((row) => row.policy === wanted)?.values[name] ?? Number.NaN;
      const others = baselines.map(of);
      const best = better === 'lower' ? Math.min(...others) : Math.max(...others);
      return of(policy) / best;
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
