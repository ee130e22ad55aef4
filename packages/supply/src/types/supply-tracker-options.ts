/** Options of the supply tracker. */
export interface SupplyTrackerOptions {
  /**
   * Delay before a request without a reply is resent, in milliseconds.
   * @default 1000
   */
  readonly resendMs?: number;
  /**
   * Time after which a started VM that never appeared in the platform's list counts as gone, in milliseconds.
   * @default 120000
   */
  readonly unlistedMs?: number;
  /**
   * Time for which a VM must be continuously surplus before it is returned, in milliseconds.
   * @default 60000
   */
  readonly returnAfterMs?: number;
}
