/** Options of one run of an experiment. */
export interface ExperimentOptions {
  readonly seed: number;
  /** Told of progress. */
  readonly log: (line: string) => void;
}
