/** Runner chosen for a request. */
export interface Placement {
  readonly id: string;
  /** Estimated time to the first token, in milliseconds. */
  readonly firstTokenMs: number;
  /** Slowness of the runner that the estimate includes. */
  readonly slowness: number;
  /** Prompt tokens that the runner is expected to compute. */
  readonly prefillTokens: number;
}
