/** Options of an application runner. */
export interface ApplicationOptions {
  readonly id: string;
  /**
   * Host to listen on.
   * @default '127.0.0.1' with a port, otherwise a loopback address of this process alone
   */
  readonly host?: string | undefined;
  /**
   * Port to listen on; 0 selects any free port.
   * @default 0 with a host, otherwise a port that no outgoing connection can get
   */
  readonly port?: number | undefined;
  /**
   * Duration of an operation in milliseconds.
   * @default 5
   */
  readonly workMs?: number | undefined;
  /**
   * Maximum number of operations that run concurrently.
   * @default 16
   */
  readonly maxRunning?: number | undefined;
  /**
   * Delay in milliseconds before a change of the load appears in load reports.
   * @default 200
   */
  readonly loadLagMs?: number | undefined;
  /** @default 1 */
  readonly seed?: number | undefined;
}
