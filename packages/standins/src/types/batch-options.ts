/** Capacity and rates of the batches of a model runner. */
export interface BatchOptions {
  /**
   * Tokens computed in one step, shared by prefill and decode.
   * @default 512
   */
  readonly tokenBudget?: number | undefined;
  /**
   * Sequences that run at the same time.
   * @default 32
   */
  readonly maxRunning?: number | undefined;
  /**
   * Tokens that the KV memory of running sequences holds.
   * @default 65536
   */
  readonly kvCapacity?: number | undefined;
  /**
   * Fixed time of a step in milliseconds.
   * @default 8
   */
  readonly stepMs?: number | undefined;
  /**
   * Time of a token of prefill in milliseconds.
   * @default 0.05
   */
  readonly prefillTokenMs?: number | undefined;
  /**
   * Time of a token of decode in milliseconds.
   * @default 0.3
   */
  readonly decodeTokenMs?: number | undefined;
}
