/** A request as routing sees it. */
export interface RoutingRequest {
  readonly id: string;
  /** Service addressed. */
  readonly service: string;
  /** Version chosen by the move in progress; any version when absent. */
  readonly version?: string;
  /** Hashes of the prompt's blocks, from `prefixBlocks`; empty for applications. */
  readonly blocks: readonly string[];
  /** Tokens of the prompt and of what was already generated. */
  readonly promptTokens: number;
  /** Failure domain of the node that decides. */
  readonly failureDomain?: string;
}
