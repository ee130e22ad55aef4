/** Input of the choice of the runners that a node polls and sends work to. */
export interface SubsetOptions {
  readonly nodeId: string;
  /** Identifiers of all runners of a service. */
  readonly runners: readonly string[];
  /** Number of runners to keep. */
  readonly size: number;
}
