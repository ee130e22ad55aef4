import type { ResultRow } from '../types/result-row.ts';

const SIGNIFICANT_DIGITS = 3;
const MIN_ROUNDED = 1000;

function formatValue(value: number | undefined): string {
  if (value === undefined || Number.isNaN(value)) return '-';
  return value >= MIN_ROUNDED || Number.isInteger(value)
    ? String(Math.round(value))
    : String(Number(value.toPrecision(SIGNIFICANT_DIGITS)));
}

/** Formats a Markdown table with a row for each policy and a column for each value. */
export function toMarkdown(rows: readonly ResultRow[]): string {
  const names = [...new Set(rows.flatMap(({ values }) => Object.keys(values)))];
  const valueRows = rows.map(({ policy, values }) => [
    policy,
    ...names.map((n) => formatValue(values[n])),
  ]);
  const tableRows = [['policy', ...names], ['---', ...names.map(() => '---')], ...valueRows];
  return tableRows.map((cells) => `| ${cells.join(' | ')} |`).join('\n');
}
