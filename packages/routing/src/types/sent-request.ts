/** A request that was sent to a runner. */
export interface SentRequest {
  readonly id: string;
  readonly promptTokens: number;
  /** Hashes of the prompt's blocks; empty for applications. */
  readonly blocks: readonly string[];
}
