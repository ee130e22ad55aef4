/** Load reported by a runner. Fields that only model engines report are optional. */
export interface LoadReport {
  /** Requests being processed. */
  readonly running: number;
  /** Requests accepted by the runner and not yet started. */
  readonly waiting: number;
  /** Tokens held in the KV cache. */
  readonly kvUsed?: number;
  /** Tokens that the KV cache can hold. */
  readonly kvCapacity?: number;
  /** Prompt tokens processed per second. */
  readonly prefillRate?: number;
  /** Duration of the engine's last decoding step in milliseconds. */
  readonly stepMs?: number;
  /** True when the runner's VM has a reclaim notice. */
  readonly leaving: boolean;
}
