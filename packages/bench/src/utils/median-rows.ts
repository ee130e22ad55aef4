import type { ResultRow } from '../types/result-row.ts';
import type { ResultTable } from '../types/result-table.ts';
import { percentile } from './percentile.ts';

/** Returns the median over the seeds for each value of each policy. */
export function medianRows(tables: readonly ResultTable[]): readonly ResultRow[] {
  return (tables[0]?.rows ?? []).map(({ policy, values }) => {
    const names = Object.keys(values);
    const medians = names.map((name) => [name, medianOf(tables, policy, name)] as const);
    return { policy, values: Object.fromEntries(medians) };
  });
}

function medianOf(tables: readonly ResultTable[], policy: string, name: string): number {
  const rows = tables.flatMap(({ rows }) => rows.filter((row) => row.policy === policy));
  return percentile(
    rows.map(({ values }) => values[name] ?? Number.NaN),
    0.5,
  );
}
