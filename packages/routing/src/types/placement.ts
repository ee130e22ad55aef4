/** Runner chosen for a request. */
export interface Placement {
  readonly id: string;
  /** Estimated time to the first token, in milliseconds. */
  readonly firstTokenMs: number;
  /** Prompt tokens that the runner is expected to compute. */
  readonly prefillTokens: number;
}
