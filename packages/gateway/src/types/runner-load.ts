/** Load that a runner states in its answers. */
export interface RunnerLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}
