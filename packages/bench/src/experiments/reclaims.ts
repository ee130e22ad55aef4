import type { Comparison } from '../types/comparison.ts';
import type { Experiment } from '../types/experiment.ts';
import type { ExperimentOptions } from '../types/experiment-options.ts';
import type { ResultRow } from '../types/result-row.ts';
import type { ResultTable } from '../types/result-table.ts';
import { runReclaim } from './reclaims-run.ts';

const POLICIES = ['finish', 'recompute', 'move-kv', 'cost'] as const;
const WAVES = ['one runner', 'a third', 'a failure domain', '42%'] as const;
const NOTICES_MS = [2000, 10_000];
const MS_PER_S = 1000;

function groupName(wave: string, noticeMs: number): string {
  return `${wave}, ${noticeMs / MS_PER_S} s`;
}

async function run({ seed, log }: ExperimentOptions): Promise<ResultTable> {
  const rows: ResultRow[] = [];
  for (const noticeMs of NOTICES_MS)
    for (const wave of WAVES) {
      const group = groupName(wave, noticeMs);
      log(group);
      const values = await Promise.all(
        POLICIES.map((policy) => runReclaim({ policy, wave, noticeMs, seed })),
      );
      POLICIES.forEach((policy, index) => {
        rows.push({ policy: `${group}: ${policy}`, values: values[index] ?? {} });
      });
    }
  return { seed, rows };
}

const comparisons: readonly Comparison[] = NOTICES_MS.flatMap((noticeMs) =>
  WAVES.map((wave): Comparison => {
    const group = groupName(wave, noticeMs);
    return {
      policy: `${group}: cost`,
      baselines: [`${group}: recompute`],
      values: { recomputed: 'lower', gapP95: 'lower', elapsedP95: 'lower' },
    };
  }),
);

/** Compares strategies for streams on reclaimed endpoints. */
export const reclaims: Experiment = {
  name: 'reclaims',
  summary: 'finishing in place, recomputing, moving the KV cache, and the choice by cost',
  comparisons,
  run,
};
