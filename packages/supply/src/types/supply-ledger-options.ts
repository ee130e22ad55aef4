/** Options of the supply ledger. */
export interface SupplyLedgerOptions {
  /**
   * Delay before a request without an answer is sent again, in milliseconds.
   * @default 1000
   */
  readonly resendMs?: number;
  /**
   * Time after which a started VM that the platform never listed counts as gone, in milliseconds.
   * @default 120000
   */
  readonly unlistedMs?: number;
  /**
   * Time for which a VM must be surplus without interruption before it is returned, in
   * milliseconds.
   * @default 60000
   */
  readonly returnAfterMs?: number;
}
