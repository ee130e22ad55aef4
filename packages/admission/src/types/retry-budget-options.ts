/** Options of a retry budget. */
export interface RetryBudgetOptions {
  /**
   * Retries and hedges allowed per first try.
   * @default 0.1
   */
  readonly ratio?: number;
  /**
   * Retries a second that are allowed whatever the number of first tries.
   * @default 0.2
   */
  readonly floorPerSecond?: number;
  /**
   * Largest number of saved-up retries.
   * @default 10
   */
  readonly burst?: number;
}
