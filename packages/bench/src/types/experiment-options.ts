/** Options of one run of an experiment. */
export interface ExperimentOptions {
  readonly seed: number;
  /** Receives progress lines. */
  readonly log: (line: string) => void;
}
