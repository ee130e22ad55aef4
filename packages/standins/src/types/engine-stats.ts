/** Counters of a model runner since its start. */
export interface EngineStats {
  readonly runner: string;
  readonly requests: number;
  /** Tokens computed in prefill, the recomputed ones included. */
  readonly prefillTokens: number;
  /** Tokens taken from the prefix cache or imported KV cache. */
  readonly reusedTokens: number;
  /** Tokens computed in prefill that an engine had generated before. */
  readonly recomputedTokens: number;
  readonly generatedTokens: number;
  readonly cancelled: number;
  readonly failed: number;
  /** Runs by request id. */
  readonly runs: Readonly<Record<string, number>>;
}
