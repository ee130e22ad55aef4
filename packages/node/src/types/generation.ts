/** Order to a model engine to generate tokens. */
export interface Generation {
  readonly requestId: string;
  readonly prompt: string;
  /** Tokens that were generated before, to be continued. */
  readonly generated: readonly string[];
  /** Tokens wanted in all, those generated before included. */
  readonly maxTokens: number;
  /** Larger is served first. */
  readonly priority: number;
}
