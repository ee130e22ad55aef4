interface BufferBudgetOptions {
  /** Memory that all holders together may take, in bytes. */
  readonly totalBytes: number;
  /** Memory that one holder may take, in bytes. */
  readonly maxBytes: number;
}

/** Bounds the memory that responses in progress take together. */
export class BufferBudget {
  readonly #options: BufferBudgetOptions;
  #usedBytes = 0;

  constructor(options: BufferBudgetOptions) {
    this.#options = options;
  }

  /** Memory that is taken now, in bytes. */
  get usedBytes(): number {
    return this.#usedBytes;
  }

  /** Accounts for a holder whose memory grows to `toBytes`; returns false if it must not. */
  tryGrow(fromBytes: number, toBytes: number): boolean {
    const { totalBytes, maxBytes } = this.#options;
    const usedBytes = this.#usedBytes + toBytes - fromBytes;
    if (toBytes > fromBytes && (toBytes > maxBytes || usedBytes > totalBytes)) return false;
    this.#usedBytes = usedBytes;
    return true;
  }
}
