/** Load that a runner reports in its response headers. */
export interface RunnerLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}
