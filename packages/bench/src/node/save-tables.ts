import { mkdir, writeFile } from 'node:fs/promises';
import type { Comparison } from '../types/comparison.ts';
import type { ResultTable } from '../types/result-table.ts';
import { compareWithBest } from '../utils/compare-with-best.ts';
import { medianRows } from '../utils/median-rows.ts';
import { toMarkdown } from '../utils/to-markdown.ts';

interface SaveOptions {
  readonly name: string;
  readonly summary: string;
  readonly command: string;
  readonly tables: readonly ResultTable[];
  readonly comparisons: readonly Comparison[];
}

const FOLDER = new URL('../../../../docs/measurements/', import.meta.url);

/** Writes the tables of an experiment to `docs/measurements`. */
export async function saveTables(options: SaveOptions): Promise<void> {
  const { name, summary, command, tables, comparisons } = options;
  const ratios = comparisons.flatMap((comparison) => compareWithBest(tables, comparison));
  await mkdir(FOLDER, { recursive: true });
  const seeds = tables.map(({ seed }) => seed).join(', ');
  const parts = [
    `# ${name}`,
    `Compares ${summary}. Command: \`${command}\`. Seeds: ${seeds}. The figures are of stand-ins on one machine; compare them only within one run.`,
    `Median over the seeds:\n\n${toMarkdown(medianRows(tables))}`,
    ...(ratios.length === 0
      ? []
      : [`Ratios to the best baseline, worked out for each seed:\n\n${toMarkdown(ratios)}`]),
    ...tables.map(({ seed, rows }) => `Seed ${seed}:\n\n${toMarkdown(rows)}`),
  ];
  await writeFile(new URL(`${name}.md`, FOLDER), `${parts.join('\n\n')}\n`);
  await writeFile(new URL(`${name}.json`, FOLDER), `${JSON.stringify(tables, undefined, 2)}\n`);
}
