/** Options of a workload. */
export interface WorkloadOptions {
  readonly seed: number;
  readonly durationMs: number;
  /** Arrivals a second of each kind; sessions count once, with several turns each. */
  readonly rates: {
    readonly quoteSessions: number;
    readonly reconciliations: number;
    readonly questions: number;
    readonly stock: number;
    readonly reorders: number;
    readonly filings: number;
  };
  /** Names of the tenants with their shares of the arrivals. */
  readonly tenants: Readonly<Record<string, number>>;
  /**
   * Deadline of each request in milliseconds.
   * @default 15000
   */
  readonly deadlineMs?: number;
}
