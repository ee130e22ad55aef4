/** Batch capacity and step timing of a model runner. */
export interface BatchOptions {
  /**
   * Maximum number of tokens computed per step, shared by prefill and decode.
   * @default 512
   */
  readonly tokenBudget?: number | undefined;
  /**
   * Maximum number of sequences that run concurrently.
   * @default 32
   */
  readonly maxRunning?: number | undefined;
  /**
   * KV memory available to running sequences, in tokens.
   * @default 65536
   */
  readonly kvCapacity?: number | undefined;
  /**
   * Fixed duration of a step in milliseconds.
   * @default 8
   */
  readonly stepMs?: number | undefined;
  /**
   * Additional time per prefill token in milliseconds.
   * @default 0.05
   */
  readonly prefillTokenMs?: number | undefined;
  /**
   * Additional time per decoded token in milliseconds.
   * @default 0.3
   */
  readonly decodeTokenMs?: number | undefined;
}
