/** Input of the choice of the runners that a node polls and sends work to. */
export interface SubsetOptions {
  readonly nodeId: string;
  /** Identifiers of all runners of a service. */
  readonly runners: readonly string[];
  /** Number of runners to keep. */
  readonly size: number;
  /**
   * Identifiers of all nodes; with it every runner is kept by at least `coverage` nodes.
   * @default only this node is known and coverage is left to chance
   */
  readonly nodes?: readonly string[];
  /**
   * Nodes that keep each runner at least.
   * @default 3
   */
  readonly coverage?: number;
}
