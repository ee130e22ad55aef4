/** Capacity of the model engine behind a service. */
export interface ModelEngine {
  /** Maximum number of requests in one batch. */
  readonly slots: number;
  /** Capacity of the KV cache of one runner in tokens. */
  readonly kvCapacityTokens: number;
}
