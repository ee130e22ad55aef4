import type { ResultRow } from './result-row.ts';

/** Result of an experiment with one seed. */
export interface ResultTable {
  readonly seed: number;
  readonly rows: readonly ResultRow[];
}
