import type { Tally } from './tally.ts';

/** Input of one statistical test of the new version against the old one. */
export interface TestSeries {
  /** Name of the test, for example `failures on route quotes`. */
  readonly name: string;
  readonly route?: string;
  /** Minimum event rate assumed for the old version, so that lower rates do not count against the new one. */
  readonly floor: number;
  /** Increases over the old version's event rate that the test checks for. */
  readonly excesses: readonly number[];
  readonly newRecent: Tally;
  readonly oldRecent: Tally;
  readonly oldTotal: Tally;
}
