/** Effect of an operation at an application runner. */
export interface OperationRun {
  readonly runner: string;
  readonly key: string;
  readonly operation: string;
  readonly payload: unknown;
  /** Position among the runs of this runner, from 1. */
  readonly number: number;
  /** Times that this key has run at this runner, this run included. */
  readonly times: number;
  /** Wall-clock time in milliseconds. */
  readonly time: number;
}
