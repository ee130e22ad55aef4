/** Options of one soak run. */
export interface SoakOptions {
  readonly seed: number;
  /** Duration of the traffic, in milliseconds. */
  readonly lengthMs: number;
  readonly nodes: number;
  readonly callers: number;
  /**
   * Draws from the faults that send bytes without end, bodies that arrive slowly and series of
   * changes, too.
   * @default false
   */
  readonly endless?: boolean | undefined;
  /**
   * Evacuates a failure domain for a part of the run, beside the other faults.
   * @default false
   */
  readonly evacuates?: boolean | undefined;
  /**
   * Checkout of the version that runs at first; its nodes are upgraded to this one in turn.
   * @default no upgrade
   */
  readonly production?: string | undefined;
  /**
   * Maximum time until all nodes are ready, in milliseconds.
   * @default 60000
   */
  readonly readyTimeoutMs?: number;
  /** Folder for the nodes' settings and logs. */
  readonly folder: string;
}
