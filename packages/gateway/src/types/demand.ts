/** Number of requests, with their prompt and output tokens. */
export interface Demand {
  readonly requests: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
}
