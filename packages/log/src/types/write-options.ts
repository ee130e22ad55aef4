/** Options of one write. */
export interface WriteOptions {
  /**
   * Identifier of the entry; a caller passes the same one when it retries.
   * @default a random UUID
   */
  readonly id?: string;
  /**
   * Time in milliseconds after which the write is abandoned.
   * @default 10000
   */
  readonly timeoutMs?: number;
}
