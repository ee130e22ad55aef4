/** Properties of a request that routing uses. */
export interface RoutingRequest {
  readonly id: string;
  /** Service that the request is addressed to. */
  readonly service: string;
  /** Version selected by the rollout in progress; any version when absent. */
  readonly version?: string;
  /** Hashes of the prompt's blocks, from `prefixBlocks`; empty for applications. */
  readonly blocks: readonly string[];
  /** Tokens of the prompt and of the output generated so far. */
  readonly promptTokens: number;
  /** Failure domain of the node that makes the decision. */
  readonly failureDomain?: string;
}
