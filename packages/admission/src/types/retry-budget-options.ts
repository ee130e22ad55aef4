/** Options of a retry budget. */
export interface RetryBudgetOptions {
  /**
   * Retries and hedges allowed per first attempt.
   * @default 0.1
   */
  readonly ratio?: number;
  /**
   * Retries per second that are allowed regardless of the number of first attempts.
   * @default 0.2
   */
  readonly floorPerSecond?: number;
  /**
   * Maximum number of retries that can accumulate.
   * @default 10
   */
  readonly burst?: number;
}
