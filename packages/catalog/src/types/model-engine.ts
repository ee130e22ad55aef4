/** Limits of the model engine behind a service. */
export interface ModelEngine {
  /** Requests in one batch. */
  readonly slots: number;
  /** Tokens that the KV cache of one runner holds. */
  readonly kvCapacityTokens: number;
}
