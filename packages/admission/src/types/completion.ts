/** Result of a request that a concurrency limit admitted. */
export interface Completion {
  /** `ok` and `overloaded` change the limit; `ignored` (cancelled by the caller) does not. */
  readonly outcome: 'ok' | 'overloaded' | 'ignored';
  readonly latencyMs: number;
}
