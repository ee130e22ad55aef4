import type { Comparison } from './comparison.ts';
import type { ExperimentOptions } from './experiment-options.ts';
import type { ResultTable } from './result-table.ts';

/** A benchmark experiment that compares policies on the same arrivals. */
export interface Experiment {
  readonly name: string;
  /** One-line description of what is compared. */
  readonly summary: string;
  /** @default none */
  readonly comparisons?: readonly Comparison[];
  /** Runs every policy once with the given seed. */
  run(options: ExperimentOptions): Promise<ResultTable>;
}
