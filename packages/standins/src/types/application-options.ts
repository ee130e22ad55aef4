/** Options of an application runner. */
export interface ApplicationOptions {
  readonly id: string;
  /** @default '127.0.0.1' */
  readonly host?: string | undefined;
  /**
   * Port, 0 for any free one.
   * @default 0
   */
  readonly port?: number | undefined;
  /**
   * Time of an operation in milliseconds.
   * @default 5
   */
  readonly workMs?: number | undefined;
  /**
   * Operations that run at the same time.
   * @default 16
   */
  readonly maxRunning?: number | undefined;
  /**
   * Lag of load reports in milliseconds.
   * @default 200
   */
  readonly loadLagMs?: number | undefined;
  /** @default 1 */
  readonly seed?: number | undefined;
}
