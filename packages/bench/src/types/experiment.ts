import type { Comparison } from './comparison.ts';
import type { ExperimentOptions } from './experiment-options.ts';
import type { ResultTable } from './result-table.ts';

/** One experiment of the bench: compares policies on the same arrivals. */
export interface Experiment {
  readonly name: string;
  /** What is compared, in one line. */
  readonly summary: string;
  /** @default none */
  readonly comparisons?: readonly Comparison[];
  /** Runs every policy once with one seed. */
  run(options: ExperimentOptions): Promise<ResultTable>;
}
