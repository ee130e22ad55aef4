/** What a circuit learns from one request. */
export interface RequestOutcome {
  readonly ok: boolean;
  /** Time to the first byte or token in milliseconds, when one arrived. */
  readonly latencyMs?: number;
}
