/** One run of an operation by an application runner. */
export interface OperationRun {
  readonly runner: string;
  readonly key: string;
  readonly operation: string;
  readonly payload: unknown;
  /** Sequence number among the runs of this runner, starting at 1. */
  readonly number: number;
  /** How often this runner has run this key, including this run. */
  readonly times: number;
  /** Wall-clock time in milliseconds. */
  readonly time: number;
}
