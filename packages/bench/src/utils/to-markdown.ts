import type { ResultRow } from '../types/result-row.ts';

const SIGNIFICANT_DIGITS = 3;
const LARGE = 1000;

function shown(value: number | undefined): string {
  if (value === undefined || Number.isNaN(value)) return '-';
  return value >= LARGE || Number.isInteger(value)
    ? String(Math.round(value))
    : String(Number(value.toPrecision(SIGNIFICANT_DIGITS)));
}

/** Table with a row for each policy and a column for each value. */
export function toMarkdown(rows: readonly ResultRow[]): string {
  const names = [...new Set(rows.flatMap(({ values }) => Object.keys(values)))];
  const lines = rows.map(({ policy, values }) => [policy, ...names.map((n) => shown(values[n]))]);
  const all = [['policy', ...names], ['---', ...names.map(() => '---')], ...lines];
  return all.map((cells) => `| ${cells.join(' | ')} |`).join('\n');
}
