/** Input for selecting the subset of runners that a node polls and sends work to. */
export interface SubsetOptions {
  readonly nodeId: string;
  /** Identifiers of all runners of a service. */
  readonly runners: readonly string[];
  /** Target number of runners in the subset. */
  readonly size: number;
  /**
   * Identifiers of all nodes; when given, every runner is in the subsets of at least `coverage`
   * nodes.
   * @default only this node is known, and no coverage is guaranteed
   */
  readonly nodes?: readonly string[];
  /**
   * Minimum number of nodes whose subsets contain each runner.
   * @default 3
   */
  readonly coverage?: number;
}
