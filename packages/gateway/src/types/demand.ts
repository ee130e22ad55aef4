/** Requests and their tokens. */
export interface Demand {
  readonly requests: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
}
