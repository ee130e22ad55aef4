/** Result of one request as input to the circuit breaker. */
export interface RequestOutcome {
  readonly ok: boolean;
  /** Time to the first byte or token in milliseconds; absent when none arrived. */
  readonly latencyMs?: number;
}
