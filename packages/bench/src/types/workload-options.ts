export interface WorkloadOptions {
  readonly seed: number;
  readonly durationMs: number;
  /**
   * Mean arrivals per second by kind; a session counts as one arrival although it has several
   * turns.
   */
  readonly rates: {
    readonly quoteSessions: number;
    readonly reconciliations: number;
    readonly questions: number;
    readonly stock: number;
    readonly reorders: number;
    readonly filings: number;
  };
  /** Relative shares of the arrivals by tenant name. */
  readonly tenants: Readonly<Record<string, number>>;
  /**
   * Deadline of each request in milliseconds.
   * @default 15000
   */
  readonly deadlineMs?: number;
}
