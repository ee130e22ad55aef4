/** Load that a runner reports in its response headers. */
export interface RunnerLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Time that work takes there at the moment, relative to its usual time; undefined when not stated. */
  readonly slowness?: number;
  /**
   * The runner stated a slowness that is not usable.
   * @default false
   */
  readonly hasInvalidSlowness?: boolean;
}
