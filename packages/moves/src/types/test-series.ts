import type { Tally } from './tally.ts';

/** One test of the new version against the old one. */
export interface TestSeries {
  /** Name of the test, for example `failures on route quotes`. */
  readonly name: string;
  readonly route?: string;
  /** Event rate below which no version is blamed. */
  readonly floor: number;
  /** Differences from the old version's rate that the test looks for. */
  readonly excesses: readonly number[];
  readonly fresh: Tally;
  readonly oldRecent: Tally;
  readonly oldTotal: Tally;
}
