interface BufferBudgetOptions {
  /** Bytes that all holders together may buffer. */
  readonly totalBytes: number;
  /** Bytes that one holder may buffer. */
  readonly maxBytes: number;
}

/** Bounds the memory that responses in progress take together. */
export class BufferBudget {
  readonly #options: BufferBudgetOptions;
  #usedBytes = 0;

  constructor(options: BufferBudgetOptions) {
    this.#options = options;
  }

  /** Bytes that are buffered now. */
  get usedBytes(): number {
    return this.#usedBytes;
  }

  /** Accounts for a holder that grows to `toBytes`; returns false if it must not. */
  tryGrow(fromBytes: number, toBytes: number): boolean {
    const { totalBytes, maxBytes } = this.#options;
    const usedBytes = this.#usedBytes + toBytes - fromBytes;
    if (toBytes > fromBytes && (toBytes > maxBytes || usedBytes > totalBytes)) return false;
    this.#usedBytes = usedBytes;
    return true;
  }
}
